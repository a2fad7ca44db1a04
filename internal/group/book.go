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

// MaxVoters is the maximum number of voters in a group.
const MaxVoters = 5

// Member holds the addresses of one member of a group.
type Member struct {
	Address         string `json:"address"`        // for members and clients
	RegistryAddress string `json:"list,omitempty"` // of its registry; empty if the group does not replicate the list
}

// Generation identifies the history of a group. Each recovery from less than a majority
// starts a new generation, and members of earlier ones terminate for good. Two generations
// with the same number and different names belong to different groups.
type Generation struct {
	Number int    `json:"number"`
	Name   string `json:"name,omitempty"` // random; empty for the first generation
}

// String returns the number followed by the name.
func (g Generation) String() string { return fmt.Sprintf("%d%s", g.Number, g.Name) }

// memberTable is the replicated configuration of the group: its members and its generation.
type memberTable struct {
	Members map[uint64]Member `json:"members"`
	// Highest is the highest member number ever assigned. A number up to Highest without a
	// member was removed and is never reused, since its folder may reappear.
	Highest    uint64     `json:"highest"`
	Generation Generation `json:"generation,omitzero"`
	// Former holds the members excluded by the current generation, which have to be notified.
	Former map[uint64]Member `json:"former,omitempty"`

	fromConfig bool // unchanged since it was read from the configuration
}

func newMemberTable(members map[uint64]Member) *memberTable {
	table := &memberTable{Members: maps.Clone(members), fromConfig: true}
	for n := range members {
		table.Highest = max(table.Highest, n)
	}
	return table
}

// wasRemoved reports whether the number belonged to a member that has been removed. The
// number 0 stands for a sender of an earlier build, which does not send its number.
func (t *memberTable) wasRemoved(number uint64) bool {
	return number > 0 && number <= t.Highest && t.Members[number].Address == ""
}

// checkAdd reports whether the member already exists, or why it can't be added.
func (t *memberTable) checkAdd(number uint64, member Member) (exists bool, err error) {
	if t.Members[number] == member {
		return true, nil
	}
	if number <= t.Highest {
		return false, fmt.Errorf("the number %d was given before; numbers from %d on are free", number, t.Highest+1)
	}
	for other, existing := range t.Members {
		if existing.Address == member.Address || member.RegistryAddress != "" && existing.RegistryAddress == member.RegistryAddress {
			return false, fmt.Errorf("member %d is at that address", other)
		}
	}
	return false, nil
}

// memberChange is the context of a raft configuration change.
type memberChange struct {
	Key    uint64 `json:"key"`
	Member Member `json:"member,omitzero"`
}

func (t *memberTable) encode() []byte {
	text, err := json.Marshal(t)
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return text
}

func (t *memberTable) decode(text []byte) error {
	var next memberTable
	if err := json.Unmarshal(text, &next); err != nil {
		return fmt.Errorf("group: decode member table: %w", err)
	}
	if len(next.Members) == 0 {
		return errors.New("group: member table is empty")
	}
	*t = next
	return nil
}

// replicatedState implements StateMachine: the member table, the ledger and the list. An
// entry is a key, a payload kind, and a ledger command or records of the list.
type replicatedState struct {
	state   *ledger.State
	list    List
	members *memberTable
}

// Layout of an entry and of a line of a snapshot.
const (
	keyBytes = 8

	payloadLedger  = 'c'
	payloadList    = 'l'
	payloadMembers = 'b' // in snapshots only
)

func (m replicatedState) Apply(index uint64, data []byte) any {
	if len(data) <= keyBytes {
		return ledger.Result{Code: ledger.Invalid, Text: "entry truncated: no payload after its key"}
	}
	body := data[keyBytes+1:]
	if data[keyBytes] == payloadList {
		records, err := splitLines(body)
		if err != nil || m.list == nil {
			return ledger.Result{Code: ledger.Invalid, Text: "list entry is malformed, or this member replicates no list"}
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

// observeBackends updates the budget state from the list's backends.
func (m replicatedState) observeBackends(index uint64, states []budget.BackendState) {
	for _, s := range states {
		m.state.Units().ObserveBackend(index, s)
	}
}

func (m replicatedState) Add(number uint64, member Member) {
	m.members.fromConfig = false
	m.members.Members[number] = member
	m.members.Highest = max(m.members.Highest, number)
}

func (m replicatedState) Remove(number uint64) {
	m.members.fromConfig = false
	delete(m.members.Members, number)
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
	var ledgerLines, listLines [][]byte
	for _, line := range lines {
		switch {
		case len(line) > 0 && line[0] == payloadMembers:
			if err := m.members.decode(line[1:]); err != nil {
				return err
			}
		case len(line) > 0 && line[0] == payloadLedger:
			ledgerLines = append(ledgerLines, line[1:])
		case len(line) > 0 && line[0] == payloadList && m.list != nil:
			listLines = append(listLines, line[1:])
		default:
			return errors.New("group: snapshot line has an unknown kind, or this member replicates no list")
		}
	}
	if err := m.state.Restore(ledgerLines); err != nil {
		return err
	}
	if m.list == nil {
		return nil
	}
	return m.list.RestoreList(listLines)
}

// others returns the sorted numbers of all members except self.
func (t *memberTable) others(self uint64) []uint64 {
	numbers := slices.Sorted(maps.Keys(t.Members))
	return slices.DeleteFunc(numbers, func(n uint64) bool { return n == self })
}
