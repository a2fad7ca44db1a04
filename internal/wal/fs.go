package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the file system of the folder of one log. Names have no path.
type FS interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	// Create creates a file. It fails if the file exists.
	Create(name string) (File, error)
	// Append truncates a file to size bytes and opens it for writing at its end.
	Append(name string, size int64) (File, error)
	// Rename renames a file. It replaces a file that has the new name.
	Rename(old, new string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes creations, renames and removals of files durable.
	SyncDir() error
	// Lock takes an exclusive lock between processes. Closing the result releases it.
	Lock(name string) (io.Closer, error)
}

// File is a file that is written sequentially.
type File interface {
	io.WriteCloser
	// Sync makes all written data durable.
	Sync() error
	// Truncate truncates the file to size bytes; the next write continues from there.
	Truncate(size int64) error
}

// Dir is the FS of a folder in the operating system's file system.
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

// Create creates a file. It fails if the file exists.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Append truncates a file to size bytes and opens it for writing at its end.
func (d Dir) Append(name string, size int64) (File, error) {
	file, err := os.OpenFile(d.path(name), os.O_WRONLY, 0)
	if err != nil {
		return nil, err
	}
	if err := (osFile{file}).Truncate(size); err != nil {
		file.Close()
		return nil, err
	}
	return osFile{file}, nil
}

// Rename renames a file. It replaces a file that has the new name.
func (d Dir) Rename(old, new string) error { return os.Rename(d.path(old), d.path(new)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir syncs the folder.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock locks the file with the name and writes the process ID to it.
func (d Dir) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		defer file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			var owner [16]byte
			n, _ := file.Read(owner[:]) // best effort, for the message only
			return nil, fmt.Errorf("%s: in use by process %s", d, owner[:n])
		}
		return nil, err
	}
	if err := file.Truncate(0); err != nil {
		file.Close()
		return nil, err
	}
	if _, err := fmt.Fprint(file, os.Getpid()); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil // closing it releases the lock
}

type osFile struct{ *os.File }

func (f osFile) Truncate(size int64) error {
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	_, err := f.Seek(size, io.SeekStart)
	return err
}
