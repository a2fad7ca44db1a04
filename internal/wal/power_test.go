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

// powerFS is a file system in memory that may lose its power at any operation. What
// was not synced is then lost, kept, or kept in part, sector by sector in any order;
// what was done to names and not synced is undone or kept, each on its own.
type powerFS struct {
	random  *rand.Rand
	names   map[string]*inode
	lasting map[string]*inode
	pending []func(map[string]*inode) // what was done to names since SyncDir
	locked  bool

	left     int // operations until the power goes; below 0: it does not
	noRoom   int // of so many writes one finds no room; 0: none
	badSyncs int // of so many syncs one fails
	ops      int
}

type inode struct{ data, lasting []byte }

const sector = 512

var (
	errPower = errors.New("the power is gone")
	errFull  = errors.New("no space left")
	errSync  = errors.New("input/output error")
)

func newPowerFS(random *rand.Rand) *powerFS {
	return &powerFS{random: random, names: map[string]*inode{}, lasting: map[string]*inode{}, left: -1}
}

// op counts an operation, and says whether the power is gone.
func (p *powerFS) op() error {
	p.ops++
	if p.left == 0 {
		return errPower
	}
	if p.left > 0 {
		p.left--
	}
	return nil
}

// lose loses the power; what is left is a file system that works again.
func (p *powerFS) lose() {
	for _, do := range p.pending {
		if p.random.IntN(2) == 0 {
			do(p.lasting)
		}
	}
	seen := map[*inode]bool{}
	for _, n := range p.lasting {
		if seen[n] {
			continue
		}
		seen[n] = true
		size := len(n.lasting)
		if p.random.IntN(2) == 0 {
			size = len(n.data)
		} else if len(n.data) > size {
			size += p.random.IntN(len(n.data) - size)
		}
		kept := make([]byte, size)
		copy(kept, n.lasting)
		for at := 0; at < size; at += sector {
			end := min(at+sector, size, len(n.data))
			switch p.random.IntN(3) {
			case 0: // as it was
			case 1:
				if end > at {
					copy(kept[at:end], n.data[at:end])
				}
			case 2: // torn within
				if end > at {
					copy(kept[at:at+p.random.IntN(end-at+1)], n.data[at:end])
				}
			}
		}
		n.data, n.lasting = kept, slices.Clone(kept)
	}
	p.names = maps.Clone(p.lasting)
	p.pending, p.locked, p.left, p.noRoom, p.badSyncs = nil, false, -1, 0, 0
}

func (p *powerFS) List() ([]string, error) {
	return slices.Collect(maps.Keys(p.names)), p.op()
}

func (p *powerFS) Open(name string) (io.ReadCloser, error) {
	n := p.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(n.data)), p.op()
}

func (p *powerFS) change(do func(map[string]*inode)) {
	do(p.names)
	p.pending = append(p.pending, do)
}

func (p *powerFS) Create(name string) (File, error) {
	if err := p.op(); err != nil {
		return nil, err
	}
	if p.names[name] != nil {
		return nil, fs.ErrExist
	}
	n := &inode{}
	p.change(func(names map[string]*inode) { names[name] = n })
	return &powerFile{p, n}, nil
}

func (p *powerFS) Append(name string, size int64) (File, error) {
	n := p.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	f := &powerFile{p, n}
	return f, f.Truncate(size)
}

func (p *powerFS) Rename(old, new string) error {
	if err := p.op(); err != nil {
		return err
	}
	n := p.names[old]
	p.change(func(names map[string]*inode) { delete(names, old); names[new] = n })
	return nil
}

func (p *powerFS) Remove(name string) error {
	if err := p.op(); err != nil {
		return err
	}
	if p.names[name] == nil {
		return fs.ErrNotExist
	}
	p.change(func(names map[string]*inode) { delete(names, name) })
	return nil
}

func (p *powerFS) SyncDir() error {
	if err := p.op(); err != nil {
		return err
	}
	p.lasting, p.pending = maps.Clone(p.names), nil
	return nil
}

func (p *powerFS) Lock(string) (io.Closer, error) {
	if p.locked {
		return nil, errors.New("in use")
	}
	p.locked = true
	return unlocker{p}, nil
}

type unlocker struct{ p *powerFS }

func (u unlocker) Close() error { u.p.locked = false; return nil }

type powerFile struct {
	p *powerFS
	n *inode
}

func (f *powerFile) Write(b []byte) (int, error) {
	if err := f.p.op(); err != nil {
		// Some of it was written when the power went.
		f.n.data = append(f.n.data, b[:f.p.random.IntN(len(b)+1)]...)
		return 0, err
	}
	if f.p.noRoom > 0 && f.p.random.IntN(f.p.noRoom) == 0 {
		n := f.p.random.IntN(len(b))
		f.n.data = append(f.n.data, b[:n]...)
		return n, errFull
	}
	f.n.data = append(f.n.data, b...)
	return len(b), nil
}

func (f *powerFile) Sync() error {
	if err := f.p.op(); err != nil {
		return err
	}
	if f.p.badSyncs > 0 && f.p.random.IntN(f.p.badSyncs) == 0 {
		return errSync
	}
	f.n.lasting = slices.Clone(f.n.data)
	return nil
}

func (f *powerFile) Truncate(size int64) error {
	if err := f.p.op(); err != nil {
		return err
	}
	f.n.data = f.n.data[:size:size]
	return nil
}

func (f *powerFile) Close() error { return nil }
