package fleet

// StoreEpoch counts how often the store has been restored from an older copy of itself. Each
// restoration increases it by one. Revisions that were given out in one epoch may be given out again
// in the next. It is 0 for a store that doesn't report its epoch.
type StoreEpoch uint64

// numberBits is the number of low bits of a Revision that hold the store's own number.
const numberBits = 48

const (
	// MaxStoreEpoch is the highest epoch that a Revision can hold.
	MaxStoreEpoch StoreEpoch = 1<<(64-numberBits) - 1
	// MaxRevisionNumber is the highest number that a Revision can hold.
	MaxRevisionNumber uint64 = 1<<numberBits - 1
)

// Revision returns the revision with a number that the store gave out in the epoch. Revisions are
// ordered by epoch, then by number. Neither may exceed its maximum.
func (e StoreEpoch) Revision(number uint64) Revision {
	return Revision(uint64(e)<<numberBits | number)
}

// Epoch returns the store's epoch in which the revision was given out.
func (r Revision) Epoch() StoreEpoch { return StoreEpoch(r >> numberBits) }

// Number returns the store's own number of the revision within its epoch.
func (r Revision) Number() uint64 { return uint64(r) & MaxRevisionNumber }
