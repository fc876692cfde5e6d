package prefixindex

import "github.com/tillerfall/tillerfall/internal/fleet"

const (
	// minDirectoryBanks is the number of banks from which a directory is kept. With fewer banks,
	// searching each costs no more than maintaining the directory.
	minDirectoryBanks = 8
	// directorySlack is the number of blocks, beyond twice those in the index, that a directory may
	// list before it is rebuilt.
	directorySlack = 4096
)

// directory maps each block to the banks that may hold it, so that a search can skip the others. It
// may still list a bank that has dropped the block.
type directory map[fleet.BlockHash]bankSet

// bankSet is a set of bank numbers.
type bankSet []uint64

func (s bankSet) has(number int) bool {
	word := number / wordBits
	return word < len(s) && s[word]&(1<<(number%wordBits)) != 0
}

const wordBits = 64

func (s bankSet) with(number int) bankSet {
	for len(s) <= number/wordBits {
		s = append(s, 0)
	}
	s[number/wordBits] |= 1 << (number % wordBits)
	return s
}

// add records that a bank holds a block.
func (d directory) add(hash fleet.BlockHash, number int) {
	set := d[hash]
	if !set.has(number) {
		d[hash] = set.with(number)
	}
}

// addToDirectory adds a new entry of a bank to the directory. It builds the directory once the
// index has enough banks, and rebuilds it when it lists too many dropped blocks.
func (x *Index) addToDirectory(hash fleet.BlockHash, number int) {
	switch {
	case len(x.banks) < minDirectoryBanks:
		return
	case x.directory == nil || len(x.directory) > 2*x.Blocks()+directorySlack:
		x.rebuildDirectory()
	default:
		x.directory.add(hash, number)
	}
}

// rebuildDirectory builds the directory from all entries.
func (x *Index) rebuildDirectory() {
	x.directory = make(directory)
	for number, bank := range x.banks {
		for position := range bank.segments {
			for _, entry := range bank.segments[position].table {
				if entry.holders != 0 {
					x.directory.add(entry.hash, number)
				}
			}
		}
	}
}

// banksOf returns, for each prefix of a prompt, the banks that may hold all its blocks. It stops at
// the first prefix that no bank can hold.
func (d directory) banksOf(hashes []fleet.BlockHash) []bankSet {
	sets := make([]bankSet, 0, len(hashes))
	for depth, hash := range hashes {
		set := d[hash]
		if depth > 0 {
			set = intersect(sets[depth-1], set)
		}
		if len(set) == 0 {
			break
		}
		sets = append(sets, set)
	}
	return sets
}

// intersect returns the banks that are in both sets, nil if there are none.
func intersect(a, b bankSet) bankSet {
	both := make(bankSet, min(len(a), len(b)))
	combined := uint64(0)
	for word := range both {
		both[word] = a[word] & b[word]
		combined |= both[word]
	}
	if combined == 0 {
		return nil
	}
	return both
}
