// Package linear is a porcupine model of compare-and-set registers, for checking whether histories
// of calls are linearizable.
package linear

import "github.com/anishathalye/porcupine"

// Input is a call. A put expects the value that its caller read.
type Input struct {
	Name          string // of the register
	Get           bool   // else a put
	Unconditional bool   // a put that expects no value
	Expect        string // of a put
	Value         string // of a put
}

// Output is the result of a call.
type Output struct {
	Known    bool   // if false, the call may have had its effect, may yet have it, or never
	Conflict bool   // the register did not have the expected value
	Value    string // of a get
}

// RegisterModel models independent registers that are empty at first. Operations have an Input and
// an Output.
var RegisterModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) (all [][]porcupine.Operation) {
		index := map[string]int{}
		for _, operation := range history {
			name := operation.Input.(Input).Name
			if _, known := index[name]; !known {
				index[name] = len(all)
				all = append(all, nil)
			}
			all[index[name]] = append(all[index[name]], operation)
		}
		return all
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		current, call, result := state.(string), input.(Input), output.(Output)
		matches := call.Unconditional || call.Expect == current
		switch {
		case call.Get && current == result.Value:
			return []any{current}
		case call.Get:
			return nil
		case !result.Known && matches:
			return []any{current, call.Value}
		case !result.Known:
			return []any{current}
		case result.Conflict == matches:
			return nil
		case result.Conflict:
			return []any{current}
		}
		return []any{call.Value}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()
