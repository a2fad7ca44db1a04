package group

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"dunlintray/internal/budget"
	"dunlintray/internal/ledger"
)

// MostVoters bounds a group.
const MaxVoters = 5

// Member is where one of the group is reached.
type Member struct {
	Address         string `json:"address"`        // by members and callers
	RegistryAddress string `json:"list,omitempty"` // its list service, where the group has the list
}

// Generation counts how often a group went on from less than a majority. Members of an
// earlier one refuse for good; two of one number are of different groups.
type Generation struct {
	Number int    `json:"number"`
	Name   string `json:"name,omitempty"` // drawn, but for the first
}

func (g Generation) String() string { return fmt.Sprintf("%d%s", g.Number, g.Name) }

// book is who the members are. It is part of what they agree on.
type memberTable struct {
	Members map[uint64]Member `json:"members"`
	// Highest is the highest number that was ever given. One up to it that is no member's
	// was taken out, and is never given again: its folder may come back.
	Highest    uint64     `json:"highest"`
	Generation Generation `json:"generation,omitzero"`
	// Former are the members that a new generation has left behind, and has to tell.
	Former map[uint64]Member `json:"former,omitempty"`

	fromConfig bool // it is as the configuration has it
}

func newMemberTable(members map[uint64]Member) *memberTable {
	b := &memberTable{Members: maps.Clone(members), fromConfig: true}
	for n := range members {
		b.Highest = max(b.Highest, n)
	}
	return b
}

// removed says whether a number was a member's and is none's any more.
//
// Danger: members of the build before do not say who they are, which reads as 0.
func (b *memberTable) wasRemoved(n uint64) bool {
	return n > 0 && n <= b.Highest && b.Members[n].Address == ""
}

// add says why a member can't be added, or that it has been.
func (b *memberTable) checkAdd(n uint64, m Member) (there bool, err error) {
	if b.Members[n] == m {
		return true, nil
	}
	if n <= b.Highest {
		return false, fmt.Errorf("the number %d was given before; numbers from %d on are free", n, b.Highest+1)
	}
	for other, at := range b.Members {
		if at.Address == m.Address || m.RegistryAddress != "" && at.RegistryAddress == m.RegistryAddress {
			return false, fmt.Errorf("member %d is at that address", other)
		}
	}
	return false, nil
}

// change is what an entry that changes the members says beside the algorithm's part.
type memberChange struct {
	Key    uint64 `json:"key"`
	Member Member `json:"member,omitzero"`
}

func (b *memberTable) encode() []byte {
	text, err := json.Marshal(b)
	if err != nil {
		panic(err) // of plain fields
	}
	return text
}

func (b *memberTable) decode(text []byte) error {
	var next memberTable
	if err := json.Unmarshal(text, &next); err != nil {
		return fmt.Errorf("group: members: %w", err)
	}
	if len(next.Members) == 0 {
		return errors.New("group: members: there are none")
	}
	*b = next
	return nil
}

// machine is the members, the ledger and the list as core has them: an entry is a key,
// what it is for, and a command or records.
type replicatedState struct {
	state   *ledger.State
	list    List
	members *memberTable
}

// Of an entry, and of a snapshot's line.
const (
	keyBytes = 8

	payloadLedger  = 'c'
	payloadList    = 'l'
	payloadMembers = 'b' // of a snapshot alone
)

func (m replicatedState) Apply(index uint64, data []byte) any {
	if len(data) <= keyBytes {
		return ledger.Result{Code: ledger.Invalid, Text: "an entry is cut short"}
	}
	body := data[keyBytes+1:]
	if data[keyBytes] == payloadList {
		records, err := splitLines(body)
		if err != nil || m.list == nil {
			return ledger.Result{Code: ledger.Invalid, Text: "an entry of a list that there is not"}
		}
		m.list.ApplyList(records)
		m.observeBackends(index, m.list.BackendStates(records))
		return ledger.Result{}
	}
	var c ledger.Command
	if err := json.Unmarshal(body, &c); err != nil {
		return ledger.Result{Code: ledger.Invalid, Text: err.Error()}
	}
	return m.state.Apply(index, c)
}

// see tells the budgets how the list has backends now.
func (m replicatedState) observeBackends(index uint64, all []budget.BackendState) {
	for _, s := range all {
		m.state.Units().ObserveBackend(index, s)
	}
}

func (m replicatedState) Add(n uint64, at Member) {
	m.members.fromConfig = false
	m.members.Members[n] = at
	m.members.Highest = max(m.members.Highest, n)
}

func (m replicatedState) Remove(n uint64) {
	m.members.fromConfig = false
	delete(m.members.Members, n)
}

func (m replicatedState) Save() (lines [][]byte) {
	if !m.members.fromConfig {
		lines = append(lines, tagged(payloadMembers, m.members.encode()))
	}
	for _, l := range m.state.Save() {
		lines = append(lines, tagged(payloadLedger, l))
	}
	if m.list != nil {
		for _, l := range m.list.SaveList() {
			lines = append(lines, tagged(payloadList, l))
		}
	}
	return lines
}

func (m replicatedState) Restore(lines [][]byte) error {
	var ledgers, lists [][]byte
	for _, l := range lines {
		switch {
		case len(l) > 0 && l[0] == payloadMembers:
			if err := m.members.decode(l[1:]); err != nil {
				return err
			}
		case len(l) > 0 && l[0] == payloadLedger:
			ledgers = append(ledgers, l[1:])
		case len(l) > 0 && l[0] == payloadList && m.list != nil:
			lists = append(lists, l[1:])
		default:
			return errors.New("group: a snapshot's line is of nothing that this member has")
		}
	}
	if err := m.state.Restore(ledgers); err != nil {
		return err
	}
	if m.list == nil {
		return nil
	}
	return m.list.RestoreList(lists)
}

// others are the numbers of all members but one.
func (b *memberTable) others(self uint64) []uint64 {
	all := slices.Sorted(maps.Keys(b.Members))
	return slices.DeleteFunc(all, func(n uint64) bool { return n == self })
}
