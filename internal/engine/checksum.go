package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// fieldSeparator terminates each name in the checksum input, so that adjacent names stay distinct.
const fieldSeparator = "\x00"

// ComputeChecksum returns the xxHash checksum of the tenant, the model version and the block
// hashes. It detects mixed-up bundles, not forged ones.
func (b *KVBundle) ComputeChecksum() uint64 {
	digest := xxhash.New()
	for _, name := range []string{
		string(b.Tenant),
		string(b.ModelVersion.Model),
		string(b.ModelVersion.Adapter),
		string(b.ModelVersion.Version),
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
