package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// fieldSeparator keeps adjacent names in a checksum from running together.
const fieldSeparator = "\x00"

// ComputeChecksum computes the checksum over owner, weights and hashes. It guards against
// mixing bundles up, not against forgery.
func (b *KVBundle) ComputeChecksum() uint64 {
	digest := xxhash.New()
	for _, name := range []string{
		string(b.Tenant),
		string(b.Weights.Model),
		string(b.Weights.Adapter),
		string(b.Weights.Version),
	} {
		_, _ = digest.WriteString(name + fieldSeparator)
	}
	var buffer [8]byte
	for _, hash := range b.Hashes {
		binary.LittleEndian.PutUint64(buffer[:], uint64(hash))
		_, _ = digest.Write(buffer[:])
	}
	return digest.Sum64()
}
