package main

import (
	"encoding/json"
	"fmt"
	"io"

	"dunlintray/internal/registry"
	"dunlintray/internal/wal"
)

// dataCmd reads the data directories of service registries that are stopped.
type dataCmd struct {
	Check   dataCheckCmd   `cmd:"" help:"Read all of it, and say what is there or where it is damaged."`
	Dump    dataDumpCmd    `cmd:"" help:"Print its records, as lines of JSON."`
	Compact dataCompactCmd `cmd:"" help:"Write a snapshot in place of the log."`
}

type dataDirArg struct {
	Dir string `arg:"" type:"existingdir" help:"The data_dir of a list service that is stopped."`
}

type dataCheckCmd struct{ dataDirArg }

// validateRecord parses a record and discards the result.
func validateRecord(text []byte) error {
	_, err := registry.ParseRecord(text)
	return err
}

func (c *dataCheckCmd) Run(out io.Writer) error {
	report, err := wal.Check(wal.Dir(c.Dir), registry.WALKind, wal.Visitor{Snapshot: validateRecord, Record: func(_ uint64, text []byte) error { return validateRecord(text) }})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "snapshot at %d: %d records, %d bytes\nlog: %d files, %d records after the snapshot, %d bytes, up to %d\n",
		report.Snapshot, report.SnapshotRecords, report.SnapshotBytes, report.Segments, report.Records, report.Bytes, report.Last)
	switch {
	case report.TruncatedBytes > 0:
		fmt.Fprintf(out, "torn: the next start truncates %d bytes of %s from byte %d on; none of them was acknowledged\n", report.TruncatedBytes, report.TruncatedFile, report.TruncatedAt)
	case !report.Closed:
		fmt.Fprintln(out, "not closed: the service did not shut down cleanly")
	}
	for _, name := range report.ObsoleteFiles {
		fmt.Fprintln(out, "left over, removed at the next start:", name)
	}
	_, err = fmt.Fprintln(out, "no damage")
	return err
}

type dataDumpCmd struct{ dataDirArg }

func (c *dataDumpCmd) Run(out io.Writer) error {
	encoder := json.NewEncoder(out)
	writeLine := func(sequence uint64, text []byte) error {
		return encoder.Encode(struct {
			Sequence uint64          `json:"sequence,omitempty"` // 0 for records of a snapshot
			Record   json.RawMessage `json:"record"`
		}{sequence, text})
	}
	_, err := wal.Check(wal.Dir(c.Dir), registry.WALKind, wal.Visitor{Snapshot: func(text []byte) error { return writeLine(0, text) }, Record: writeLine})
	return err
}

type dataCompactCmd struct {
	dataDirArg
	DataMB int `name:"data-mb" help:"The service's limits.data_mb." default:"512"`
}

func (c *dataCompactCmd) Run(out io.Writer) error {
	stats, err := registry.Compact(wal.Dir(c.Dir), int64(c.DataMB)<<20)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "snapshot at %d: %d bytes; log: %d files, %d bytes\n", stats.Snapshot, stats.SnapshotBytes, stats.Segments, stats.Bytes)
	return err
}
