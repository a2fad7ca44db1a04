// Package linear checks histories of registers that change by compare-and-set: whether
// what callers were told can be put in one order, in which each call stands between its
// begin and its end.
package linear

import "github.com/anishathalye/porcupine"

// Asked is a call. What a caller expects is told by the value that it read.
type Input struct {
	Name          string // of the register
	Get           bool
	Unconditional bool // a put that expects nothing
	Expect        string
	Value         string
}

// Got is what it came to.
type Output struct {
	Known    bool // else it may have been done or not, and may yet be
	Conflict bool
	Value    string // of a get
}

// Registers are registers with empty values at first, each by itself.
var RegisterModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) (all [][]porcupine.Operation) {
		at := map[string]int{}
		for _, o := range history {
			name := o.Input.(Input).Name
			if _, there := at[name]; !there {
				at[name] = len(all)
				all = append(all, nil)
			}
			all[at[name]] = append(all[at[name]], o)
		}
		return all
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		have, in, out := state.(string), input.(Input), output.(Output)
		fits := in.Unconditional || in.Expect == have
		switch {
		case in.Get && have == out.Value:
			return []any{have}
		case in.Get:
			return nil
		case !out.Known && fits:
			return []any{have, in.Value}
		case !out.Known:
			return []any{have}
		case out.Conflict == fits:
			return nil
		case out.Conflict:
			return []any{have}
		}
		return []any{in.Value}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()
