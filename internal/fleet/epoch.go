package fleet

// StoreEpoch counts how often the store has been restored from an older copy of itself. Each
// restoration increases it by one. Revisions that were given out in one epoch may be given out again
// in the next. It is 0 for a store that doesn't report its epoch.
type StoreEpoch uint64
