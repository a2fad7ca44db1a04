package main

import (
	"encoding/json"
	"fmt"
	"io"

	"dunlintray/internal/registry"
	"dunlintray/internal/wal"
)

// dataCmd reads the folders of list services that do not run.
type dataCmd struct {
	Check   dataCheckCmd   `cmd:"" help:"Read all of it, and say what is there or where it is damaged."`
	Dump    dataDumpCmd    `cmd:"" help:"Print its records, as lines of JSON."`
	Compact dataCompactCmd `cmd:"" help:"Write a snapshot in place of the log."`
}

type folder struct {
	Dir string `arg:"" type:"existingdir" help:"The data_dir of a list service that is stopped."`
}

type dataCheckCmd struct{ folder }

// ignored takes records whose text is looked at, but not kept.
func ignored(text []byte) error {
	_, err := registry.ParseRecord(text)
	return err
}

func (c *dataCheckCmd) Run(out io.Writer) error {
	r, err := wal.Check(wal.Dir(c.Dir), registry.WALKind, wal.Visitor{Snapshot: ignored, Record: func(_ uint64, text []byte) error { return ignored(text) }})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "snapshot at %d: %d records, %d bytes\nlog: %d files, %d records behind the snapshot, %d bytes, up to %d\n",
		r.Snapshot, r.SnapshotRecords, r.SnapshotBytes, r.Segments, r.Records, r.Bytes, r.Last)
	switch {
	case r.TruncatedBytes > 0:
		fmt.Fprintf(out, "torn: the next start cuts %d bytes of %s from byte %d on; nobody was told that they are kept\n", r.TruncatedBytes, r.TruncatedFile, r.TruncatedAt)
	case !r.Closed:
		fmt.Fprintln(out, "not closed: the service was killed")
	}
	for _, name := range r.ObsoleteFiles {
		fmt.Fprintln(out, "left over, removed at the next start:", name)
	}
	_, err = fmt.Fprintln(out, "no damage")
	return err
}

type dataDumpCmd struct{ folder }

func (c *dataDumpCmd) Run(out io.Writer) error {
	e := json.NewEncoder(out)
	line := func(sequence uint64, text []byte) error {
		return e.Encode(struct {
			Sequence uint64          `json:"sequence,omitempty"` // none in a snapshot
			Record   json.RawMessage `json:"record"`
		}{sequence, text})
	}
	_, err := wal.Check(wal.Dir(c.Dir), registry.WALKind, wal.Visitor{Snapshot: func(text []byte) error { return line(0, text) }, Record: line})
	return err
}

type dataCompactCmd struct {
	folder
	DataMB int `name:"data-mb" help:"The service's limits.data_mb." default:"512"`
}

func (c *dataCompactCmd) Run(out io.Writer) error {
	st, err := registry.Compact(wal.Dir(c.Dir), int64(c.DataMB)<<20)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "snapshot at %d: %d bytes; log: %d files, %d bytes\n", st.Snapshot, st.SnapshotBytes, st.Segments, st.Bytes)
	return err
}
