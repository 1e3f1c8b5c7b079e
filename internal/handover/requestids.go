// The request ids that the processes of an upgrade share.

package handover

import (
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

const (
	idsFilePrefix  = "lilaccove-requests-" // followed by what follows processFilePrefix in the name of the process's file
	idsBuckets     = 2048
	idsPerBucket   = 8
	idsBytesPerKey = 8
	idsTableBytes  = idsBuckets * idsPerBucket * idsBytesPerKey
)

// idTable is a hash table of request ids in a file that other processes map. It holds hashes, 0 for a free entry. Only its owner writes.
type idTable struct {
	memory  []byte // mapped
	entries []atomic.Uint64
}

// mapIDTable maps the table in a file, which must have the right size.
func mapIDTable(fd int, protection int) (*idTable, error) {
	var stat unix.Stat_t
	if err := unix.Fstat(fd, &stat); err != nil {
		return nil, err
	}
	if stat.Size != idsTableBytes {
		return nil, fmt.Errorf("a table of %d bytes", stat.Size)
	}
	memory, err := unix.Mmap(fd, 0, idsTableBytes, protection, unix.MAP_SHARED)
	if err != nil {
		return nil, err
	}
	entries := unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(unsafe.SliceData(memory))), idsTableBytes/idsBytesPerKey)
	return &idTable{memory: memory, entries: entries}, nil
}

// openIDTable maps the table of another process.
func openIDTable(path string) (*idTable, error) {
	fd, err := openFile(path)
	if err != nil {
		return nil, err
	}
	defer unix.Close(fd)
	return mapIDTable(fd, unix.PROT_READ)
}

func (t *idTable) unmap() { _ = unix.Munmap(t.memory) }

// bucket returns the entries that may hold a hash.
func (t *idTable) bucket(hash uint64) []atomic.Uint64 {
	first := hash % idsBuckets * idsPerBucket
	return t.entries[first : first+idsPerBucket]
}

// replace changes the first entry with one value in the bucket of a hash to another, and reports whether there was one.
func (t *idTable) replace(hash, from, to uint64) bool {
	bucket := t.bucket(hash)
	for i := range bucket {
		if bucket[i].Load() == from {
			bucket[i].Store(to)
			return true
		}
	}
	return false
}

func (t *idTable) contains(hash uint64) bool {
	bucket := t.bucket(hash)
	for i := range bucket {
		if bucket[i].Load() == hash {
			return true
		}
	}
	return false
}

// hashID returns the hash of a request id, which is never 0.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return max(1, h.Sum64())
}

// siblingIDs is the table of another process, which may have ended.
type siblingIDs struct {
	*idTable
	endedAt time.Time // zero: it is alive
}

// requestIDs are this process's ids and those of other processes.
type requestIDs struct {
	own      *idTable // nil: not shared yet
	siblings map[string]*siblingIDs
	keep     time.Duration
}

// ShareRequests shares the ids of the requests that this process has in use with its siblings. What those of an ended process may have left
// running at databases counts as in use for the given time after its end. If no file can be written now, a later Poll does it.
func (s *SharedState) ShareRequests(keep time.Duration) {
	s.ids = &requestIDs{siblings: map[string]*siblingIDs{}, keep: keep}
	s.updateIDTables(s.liveSiblings())
}

// Claim reserves a request id; it returns false if another process has it in use. The id is written before the others' are read, so that of two
// processes that claim it at once one finds the other's at least. An id for which the table has no room is not shared.
func (s *SharedState) Claim(id string) bool {
	if s.ids == nil || s.ids.own == nil {
		return true
	}
	hash := hashID(id)
	written := s.ids.own.replace(hash, 0, hash)
	for _, sibling := range s.ids.siblings {
		if sibling.contains(hash) {
			if written {
				s.ids.own.replace(hash, hash, 0)
			}
			return false
		}
	}
	return true
}

// Release ends the use of a claimed request id.
func (s *SharedState) Release(id string) {
	if s.ids != nil && s.ids.own != nil {
		hash := hashID(id)
		s.ids.own.replace(hash, hash, 0)
	}
}

// idsPath returns the name of the table that belongs to a process's file.
func idsPath(processFile string) string {
	dir, name := filepath.Split(processFile)
	return filepath.Join(dir, idsFilePrefix+strings.TrimPrefix(name, processFilePrefix))
}

// updateIDTables creates this process's table and maps those of its live siblings.
func (s *SharedState) updateIDTables(siblings []string) {
	if s.ids == nil {
		return
	}
	if s.ids.own == nil && s.processFile != nil {
		table, err := createIDTable(idsPath(s.processFile.Name()))
		if err != nil {
			s.logError(fmt.Errorf("share request ids: %w", withoutPath(err)))
		}
		s.ids.own = table
	}
	for _, path := range siblings {
		s.mapSibling(path)
	}
	s.ids.dropEnded(siblings)
}

// createIDTable creates a table in a new file, whose memory is allocated: a page that cannot be allocated later would end this process.
func createIDTable(path string) (*idTable, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	_, err = sys.WriteFile(file, make([]byte, idsTableBytes))
	var table *idTable
	if err == nil {
		table, err = mapIDTable(int(file.Fd()), unix.PROT_READ|unix.PROT_WRITE)
	}
	if err != nil {
		_ = os.Remove(path)
	}
	return table, err
}

// mapSibling maps the table of a process, unless that is done or the process has none: it may be an earlier version, or too new.
func (s *SharedState) mapSibling(processFile string) {
	if s.ids == nil || s.ids.siblings[processFile] != nil {
		return
	}
	table, err := openIDTable(idsPath(processFile))
	if err == nil {
		s.ids.siblings[processFile] = &siblingIDs{idTable: table}
	} else if !os.IsNotExist(err) {
		s.logError(fmt.Errorf("map request ids: %w", withoutPath(err)))
	}
}

// dropEnded unmaps the tables of processes that have ended some time ago.
func (ids *requestIDs) dropEnded(alive []string) {
	now := time.Now()
	for path, sibling := range ids.siblings {
		switch {
		case slices.Contains(alive, path):
		case sibling.endedAt.IsZero():
			sibling.endedAt = now
		case now.Sub(sibling.endedAt) >= ids.keep:
			sibling.unmap()
			delete(ids.siblings, path)
		}
	}
}

// removeProcess removes the files of a process that has ended. What it may have left running is still in use.
func (s *SharedState) removeProcess(processFile string) {
	s.mapSibling(processFile)
	_ = os.Remove(idsPath(processFile))
	_ = os.Remove(processFile)
}
