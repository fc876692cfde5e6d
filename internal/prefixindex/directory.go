package prefixindex

import "github.com/tillerfall/tillerfall/internal/fleet"

const (
	// minDirectoryBanks is the number of banks from which on a directory is kept: a search in
	// fewer costs no more than the directory's upkeep.
	minDirectoryBanks = 8
	// directorySlack is how many blocks beyond twice those in the index a directory may
	// name before it is made anew.
	directorySlack = 4096
)

// directory tells which banks may hold a block, so that a search doesn't look into each of
// them. A bank that has dropped a block may still be named.
type directory map[fleet.BlockHash]bankSet

// bankSet is a set of banks by number.
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

// add takes in that a bank holds a block.
func (d directory) add(hash fleet.BlockHash, number int) {
	set := d[hash]
	if !set.has(number) {
		d[hash] = set.with(number)
	}
}

// addToDirectory keeps the directory up with a new entry of a bank, and makes it anew when the
// index has got many banks or the directory names too much that is gone.
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

// rebuildDirectory names the banks of all blocks.
func (x *Index) rebuildDirectory() {
	x.directory = make(directory)
	for number, bank := range x.banks {
		for at := range bank.segments {
			for _, entry := range bank.segments[at].table {
				if entry.holders != 0 {
					x.directory.add(entry.hash, number)
				}
			}
		}
	}
}

// banksOf returns the banks that may hold the first blocks of a prompt, by their number;
// the last set is the one of all blocks.
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

// intersect returns the banks that are in both sets, nil if there is none.
func intersect(one, other bankSet) bankSet {
	both := make(bankSet, min(len(one), len(other)))
	any := uint64(0)
	for word := range both {
		both[word] = one[word] & other[word]
		any |= both[word]
	}
	if any == 0 {
		return nil
	}
	return both
}
