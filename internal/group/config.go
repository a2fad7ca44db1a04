package group

import (
	"errors"
	"fmt"

	"dunlintray/internal/budget"
	"dunlintray/internal/ledger"
)

// Config is the configuration of a member.
type Config struct {
	Name              string            // name of the group, the same for all members
	Self              uint64            // this member's number, from 1
	Members           map[uint64]string // addresses by number: the 1, 3 or 5 initial members, or those to join through; includes this member
	RegistryAddresses map[uint64]string // addresses of their registries, if the group replicates the list
	Join              bool              // the group exists, and this member is added to it
	Dir               string            // folder of the log and its snapshots
	DataMB            int               // limit in MiB of the size of all files in Dir; at least 64
	Limits            ledger.Limits
	List              List // replicated beside the ledger; nil: none
}

// List is a member's replica of a registry's list. The member's loop calls the methods, one
// at a time.
type List interface {
	// ApplyList applies committed records.
	ApplyList(records [][]byte)
	// SaveList returns the list for a snapshot.
	SaveList() [][]byte
	// RestoreList replaces the list by that of a snapshot.
	RestoreList(lines [][]byte) error
	// SetWriter names the writer by the address of its registry, or "" if none is known.
	// isSelf means that this member is the writer and has applied all earlier entries.
	SetWriter(isSelf bool, address string)
	// BackendStates returns the states of the backends in the records.
	BackendStates(records [][]byte) []budget.BackendState
}

// Check validates the configuration.
func (c *Config) Check() error {
	switch {
	case c.Name == "" || len(c.Name) > 64:
		return fmt.Errorf("name: %.80q does not have 1 to 64 bytes", c.Name)
	case !c.Join && len(c.Members) != 1 && len(c.Members) != 3 && len(c.Members) != 5:
		return fmt.Errorf("members: got %d, want 1, 3 or 5", len(c.Members))
	case c.Members[c.Self] == "":
		return fmt.Errorf("self: %d is not among the members", c.Self)
	case c.Join && len(c.Members) < 2:
		return errors.New("members: a joining member needs the address of another member")
	case c.Dir == "":
		return errors.New("data_dir: a folder is required")
	case c.DataMB < 64:
		return fmt.Errorf("data_mb: %d is less than 64", c.DataMB)
	}
	seen := map[string]uint64{}
	for number, address := range c.Members {
		if other, duplicate := seen[address]; number == 0 || duplicate {
			return fmt.Errorf("members: %d and %d have the same address %s, or a number is 0", number, other, address)
		}
		seen[address] = number
	}
	return nil
}
