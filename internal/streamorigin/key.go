package streamorigin

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Key identifies a stream by the tenant and the request that brought its first event. It is a
// truncated SHA-256, so that no tenant can construct the key of another one's stream.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(tenant fleet.TenantName, request fleet.RequestID) Key {
	content := make([]byte, 0, 8+len(tenant)+len(request))
	content = binary.BigEndian.AppendUint64(content, uint64(len(tenant)))
	content = append(content, tenant...)
	content = append(content, request...)
	sum := sha256.Sum256(content)
	return Key(binary.BigEndian.Uint64(sum[:8]))
}
