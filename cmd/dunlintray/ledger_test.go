package main

import (
	"context"
	"net"
	"strings"
	"testing"

	"dunlintray/internal/group"
	"dunlintray/internal/ledger"
	"dunlintray/internal/wal"
)

// The ledger and group commands work against a group of one member, and report conflicts, invalid
// values, unknown members and members that do not answer.
func TestLedgerCommands(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address, dir := listener.Addr().String(), t.TempDir()
	member, err := group.Open(group.Config{Name: "one", Self: 1, Members: map[uint64]string{1: address}, Dir: dir, DataMB: 64, Limits: ledger.DefaultLimits}, wal.Dir(dir))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	errs := make(chan error, 2)
	go func() { errs <- member.Run(ctx) }()
	go func() { errs <- member.Serve(ctx, listener) }()
	for _, test := range []struct {
		args   string
		status int
		want   string
	}{
		{"ledger put --group AT a 7 --expect 0", 0, `{"version":`},
		{"ledger put --group AT a 8 --expect 0", 1, "conflict: a is at version"},
		{"ledger put --group AT a nonsense", 1, "invalid: value: it is not JSON"},
		{"ledger put --group 127.0.0.1:1,AT b/1 [1,2]", 0, `{"version":`},
		{"ledger get --group AT a", 0, `"value":7`},
		{"ledger get --group AT c", 1, "there is no record c"},
		{"ledger list --group AT b/", 0, `"name":"b/1"`},
		{"ledger delete --group AT a", 0, "{}"},
		{"ledger delete --group AT a", 1, "not found"},
		{"ledger get --group 127.0.0.1:1 --wait 200ms a", 1, "refused"},
		{"group show AT", 0, "one    "},
		{"group transfer --group AT 1", 0, "member 1 writes\n"},
		{"group transfer --group AT 7", 1, "member 7 is no voter"},
		{"group remove --group AT 1", 1, "member 1 is the writer; have another write first"},
		{"group add --group AT 1 127.0.0.1:1", 1, "the number 1 was given before"},
		{"group add --group AT 2 127.0.0.1:1", 0, "member 2 is added; it votes once it is filled (group show)\n"},
		{"group remove --group AT 2", 0, "member 2 is taken out; its number is never given again\n"},
		{"group show 127.0.0.1:1", 1, "no answer"},
	} {
		status, text := runCommand(t.Context(), strings.Fields(strings.ReplaceAll(test.args, "AT", address))...)
		if status != test.status || !strings.Contains(text, test.want) {
			t.Errorf("%s: exit status %d, want %d with %q:\n%s", test.args, status, test.status, test.want, text)
		}
	}
	stop()
	for range 2 {
		if err := <-errs; err != nil {
			t.Errorf("stopping the member: %v", err)
		}
	}
}
