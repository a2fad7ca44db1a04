package wal

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
)

// powerFS is an FS in memory that can lose power at any operation. Unsynced data is then lost or
// kept, sector by sector, and each unsynced change of names is undone or kept on its own.
type powerFS struct {
	random         *rand.Rand
	files          map[string]*inode
	durableFiles   map[string]*inode
	pendingChanges []func(map[string]*inode) // changes of names since SyncDir
	locked         bool

	remainingOps   int // operations until the power is lost; negative: it is not lost
	writeErrorOdds int // one of this many writes fails; 0: none
	syncErrorOdds  int // one of this many syncs fails; 0: none
	ops            int
}

// inode is the current and the durable content of a file.
type inode struct{ data, durable []byte }

const sectorBytes = 512

var (
	errPowerLost   = errors.New("power lost")
	errNoSpaceLeft = errors.New("no space left")
	errSync        = errors.New("input/output error")
)

func newPowerFS(random *rand.Rand) *powerFS {
	return &powerFS{random: random, files: map[string]*inode{}, durableFiles: map[string]*inode{}, remainingOps: -1}
}

// countOp counts an operation and fails if the power is lost.
func (p *powerFS) countOp() error {
	p.ops++
	if p.remainingOps == 0 {
		return errPowerLost
	}
	if p.remainingOps > 0 {
		p.remainingOps--
	}
	return nil
}

// losePower simulates a power loss and a restart.
func (p *powerFS) losePower() {
	for _, apply := range p.pendingChanges {
		if p.random.IntN(2) == 0 {
			apply(p.durableFiles)
		}
	}
	seen := map[*inode]bool{}
	for _, file := range p.durableFiles {
		if seen[file] {
			continue
		}
		seen[file] = true
		size := len(file.durable)
		if p.random.IntN(2) == 0 {
			size = len(file.data)
		} else if len(file.data) > size {
			size += p.random.IntN(len(file.data) - size)
		}
		kept := make([]byte, size)
		copy(kept, file.durable)
		for offset := 0; offset < size; offset += sectorBytes {
			end := min(offset+sectorBytes, size, len(file.data))
			switch p.random.IntN(3) {
			case 0: // the durable content
			case 1:
				if end > offset {
					copy(kept[offset:end], file.data[offset:end])
				}
			case 2: // a torn sector
				if end > offset {
					copy(kept[offset:offset+p.random.IntN(end-offset+1)], file.data[offset:end])
				}
			}
		}
		file.data, file.durable = kept, slices.Clone(kept)
	}
	p.files = maps.Clone(p.durableFiles)
	p.pendingChanges, p.locked, p.remainingOps, p.writeErrorOdds, p.syncErrorOdds = nil, false, -1, 0, 0
}

func (p *powerFS) List() ([]string, error) {
	return slices.Collect(maps.Keys(p.files)), p.countOp()
}

func (p *powerFS) Open(name string) (io.ReadCloser, error) {
	file := p.files[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(file.data)), p.countOp()
}

func (p *powerFS) changeNames(apply func(map[string]*inode)) {
	apply(p.files)
	p.pendingChanges = append(p.pendingChanges, apply)
}

func (p *powerFS) Create(name string) (File, error) {
	if err := p.countOp(); err != nil {
		return nil, err
	}
	if p.files[name] != nil {
		return nil, fs.ErrExist
	}
	file := &inode{}
	p.changeNames(func(names map[string]*inode) { names[name] = file })
	return &powerFile{p, file}, nil
}

func (p *powerFS) Append(name string, size int64) (File, error) {
	file := p.files[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	f := &powerFile{p, file}
	return f, f.Truncate(size)
}

func (p *powerFS) Rename(old, new string) error {
	if err := p.countOp(); err != nil {
		return err
	}
	file := p.files[old]
	p.changeNames(func(names map[string]*inode) { delete(names, old); names[new] = file })
	return nil
}

func (p *powerFS) Remove(name string) error {
	if err := p.countOp(); err != nil {
		return err
	}
	if p.files[name] == nil {
		return fs.ErrNotExist
	}
	p.changeNames(func(names map[string]*inode) { delete(names, name) })
	return nil
}

func (p *powerFS) SyncDir() error {
	if err := p.countOp(); err != nil {
		return err
	}
	p.durableFiles, p.pendingChanges = maps.Clone(p.files), nil
	return nil
}

func (p *powerFS) Lock(string) (io.Closer, error) {
	if p.locked {
		return nil, errors.New("in use")
	}
	p.locked = true
	return unlocker{p}, nil
}

type unlocker struct{ fs *powerFS }

func (u unlocker) Close() error { u.fs.locked = false; return nil }

type powerFile struct {
	fs    *powerFS
	inode *inode
}

func (f *powerFile) Write(data []byte) (int, error) {
	if err := f.fs.countOp(); err != nil {
		// A part of the data was written before the power was lost.
		f.inode.data = append(f.inode.data, data[:f.fs.random.IntN(len(data)+1)]...)
		return 0, err
	}
	if f.fs.writeErrorOdds > 0 && f.fs.random.IntN(f.fs.writeErrorOdds) == 0 {
		n := f.fs.random.IntN(len(data))
		f.inode.data = append(f.inode.data, data[:n]...)
		return n, errNoSpaceLeft
	}
	f.inode.data = append(f.inode.data, data...)
	return len(data), nil
}

func (f *powerFile) Sync() error {
	if err := f.fs.countOp(); err != nil {
		return err
	}
	if f.fs.syncErrorOdds > 0 && f.fs.random.IntN(f.fs.syncErrorOdds) == 0 {
		return errSync
	}
	f.inode.durable = slices.Clone(f.inode.data)
	return nil
}

func (f *powerFile) Truncate(size int64) error {
	if err := f.fs.countOp(); err != nil {
		return err
	}
	f.inode.data = f.inode.data[:size:size]
	return nil
}

func (f *powerFile) Close() error { return nil }
