package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the one folder that a log has, and all that it does there. Names have no
// path.
type FS interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	// Create makes a new file; it is an error if it is there.
	Create(name string) (File, error)
	// Append opens a file for writing behind its first size bytes, and cuts the rest.
	Append(name string, size int64) (File, error)
	Rename(old, new string) error
	Remove(name string) error
	// SyncDir makes the files' names last.
	SyncDir() error
	// Lock keeps other processes out until the closer is closed.
	Lock(name string) (io.Closer, error)
}

// File is a file that is written to its end.
type File interface {
	io.WriteCloser
	// Sync makes all that was written last.
	Sync() error
	// Truncate cuts the file; what is written next stands behind.
	Truncate(size int64) error
}

// Dir is the FS of a folder of the system's.
type Dir string

// List returns the names of all files.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Open opens a file for reading.
func (d Dir) Open(name string) (io.ReadCloser, error) { return os.Open(d.path(name)) }

// Create makes a new file.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Append opens a file behind its first size bytes.
func (d Dir) Append(name string, size int64) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY, 0)
	if err != nil {
		return nil, err
	}
	if err := (osFile{f}).Truncate(size); err != nil {
		f.Close()
		return nil, err
	}
	return osFile{f}, nil
}

// Rename renames a file; one that has the new name is replaced.
func (d Dir) Rename(old, new string) error { return os.Rename(d.path(old), d.path(new)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir makes the names last.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock locks the file called name, which holds the number of the process.
func (d Dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		defer f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			var owner [16]byte
			n, _ := f.Read(owner[:]) // a guess for people
			return nil, fmt.Errorf("%s: in use by process %s", d, owner[:n])
		}
		return nil, err
	}
	if err := f.Truncate(0); err != nil {
		f.Close()
		return nil, err
	}
	if _, err := fmt.Fprint(f, os.Getpid()); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil // its closing unlocks it
}

type osFile struct{ *os.File }

func (f osFile) Truncate(size int64) error {
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	_, err := f.Seek(size, io.SeekStart)
	return err
}
