package platformserver

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/uptrace/bunrouter"

	"github.com/tillerfall/tillerfall/internal/platform"
)

// Counters counts the calls that reached the platform, by operation.
type Counters struct {
	Get          uint64 `json:"get"`
	List         uint64 `json:"list"`
	Commit       uint64 `json:"commit"`
	GetObject    uint64 `json:"get_object"`
	PutObject    uint64 `json:"put_object"`
	ListMachines uint64 `json:"list_machines"`
	WeightStore  uint64 `json:"weight_store"`
	// RateLimited counts the calls of any operation that the rate limit rejected.
	RateLimited uint64 `json:"rate_limited"`
}

func (s *Server) controlFaults(writer http.ResponseWriter, request bunrouter.Request) error {
	var faults Faults
	if err := decodeControl(writer, request, &faults); err != nil {
		return sendError(writer, err)
	}
	s.SetFaults(faults)
	s.logger.Info().Interface("faults", faults).Msg("faults_set")
	return sendControl(writer, faults)
}

func (s *Server) controlMachines(writer http.ResponseWriter, request bunrouter.Request) error {
	var body platform.MachinesResponse
	if err := decodeControl(writer, request, &body); err != nil {
		return sendError(writer, err)
	}
	s.SetMachines(body.Machines)
	return sendControl(writer, body)
}

func (s *Server) controlCounters(writer http.ResponseWriter, _ bunrouter.Request) error {
	return sendControl(writer, s.Counters())
}

// decodeControl decodes a body and rejects unknown fields, because a misspelt fault would have no
// effect.
func decodeControl(writer http.ResponseWriter, request bunrouter.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.Wrap(platform.ErrInvalid, err.Error())
	}
	return nil
}

func sendControl(writer http.ResponseWriter, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return send(writer, reply{contentType: contentTypeJSON, body: body})
}
