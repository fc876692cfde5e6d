package router

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/rpc"
)

// BenchmarkPlace measures a placement and its final report over loopback, with the block hashes of
// a prompt of 32,768 tokens.
func BenchmarkPlace(b *testing.B) {
	f := newTestFleet(b, 12)
	f.commitConfiguration()
	r := f.startReadyRouter("r")
	client := placementClient(r)
	hashes := make([]uint64, 32768/16)
	for position := range hashes {
		hashes[position] = uint64(position + 1)
	}
	number := 0
	for b.Loop() {
		number++
		request := placeRequest(fmt.Sprintf("bench-%d", number))
		request.BlockHashes = hashes
		response, err := client.Place(context.Background(), request)
		require.NoError(b, err)
		require.NotNil(b, response.GetGrant())
		_, err = client.Report(context.Background(), &rpc.ReportRequest{Reports: []*rpc.AttemptReport{{
			RequestId: response.GetRequestId(), Attempt: 1, Run: response.GetGrant().GetRun(),
			Phase: rpc.AttemptPhase_ATTEMPT_PHASE_FINISHED,
		}}})
		require.NoError(b, err)
	}
}
