package platform

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// ErrMalformedResponse means that a response of the service is invalid or doesn't match the
// request.
var ErrMalformedResponse = errors.New("malformed answer")

// maxErrorText limits the number of bytes of an error response that are included in an error.
const maxErrorText = 200

// statusError returns the error for an unsuccessful response to a write. A status that an
// intermediary may send after the write took effect yields ErrUnknownOutcome.
func statusError(result httpResult) error {
	return wrapStatusError(errorForStatus(result.status), result)
}

func wrapStatusError(kind error, result httpResult) error {
	return errors.Wrapf(kind, "status %d: %s", result.status, errorText(result.body))
}

// errorForStatus returns the error value for the HTTP status of an unsuccessful response.
func errorForStatus(status int) error {
	switch status {
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return ErrInvalid
	}
	return ErrUnknownOutcome
}

// errorText returns the message of an error response, or the beginning of a body that isn't an
// ErrorResponse.
func errorText(body []byte) string {
	var response ErrorResponse
	text := string(body)
	if err := json.Unmarshal(body, &response); err == nil {
		text = response.Message
	}
	if len(text) > maxErrorText {
		text = text[:maxErrorText]
	}
	return strings.ToValidUTF8(text, "?")
}

// decodeRow decodes a row and checks that it has the requested key and a revision.
func decodeRow(body []byte, key string) (Row, error) {
	var row Row
	if err := json.Unmarshal(body, &row); err != nil {
		return Row{}, errors.Wrap(ErrMalformedResponse, err.Error())
	}
	if row.Key != key || row.Revision == 0 {
		return Row{}, errors.Wrapf(ErrMalformedResponse, "row %q revision %d for key %q", row.Key, row.Revision, key)
	}
	return row, nil
}

// decodeRows decodes rows and checks that they are in ascending order of key, greater than after,
// and match the prefix. The order guarantees that paging by the last key terminates.
func decodeRows(body []byte, prefix, after string) ([]Row, error) {
	var response RowsResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, errors.Wrap(ErrMalformedResponse, err.Error())
	}
	previous := after
	for index, row := range response.Rows {
		inOrder := row.Key > previous || (index == 0 && after == "")
		if !inOrder || !strings.HasPrefix(row.Key, prefix) || row.Revision == 0 {
			return nil, errors.Wrapf(ErrMalformedResponse, "row %q revision %d", row.Key, row.Revision)
		}
		previous = row.Key
	}
	return response.Rows, nil
}

// decodeMachines decodes the machine list and checks that its entries are complete and have
// distinct IDs.
func decodeMachines(body []byte) ([]Machine, error) {
	var response MachinesResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, errors.Wrap(ErrMalformedResponse, err.Error())
	}
	seen := make(map[string]bool, len(response.Machines))
	for _, machine := range response.Machines {
		if err := checkMachine(machine); err != nil {
			return nil, err
		}
		if seen[machine.ID] {
			return nil, errors.Wrapf(ErrMalformedResponse, "machine %q listed twice", machine.ID)
		}
		seen[machine.ID] = true
	}
	return response.Machines, nil
}

func checkMachine(machine Machine) error {
	if machine.ID == "" || machine.Address == "" {
		return errors.Wrapf(ErrMalformedResponse, "machine %q has no ID or address", machine.ID)
	}
	if machine.State != MachineLive && machine.State != MachineLeaving {
		return errors.Wrapf(ErrMalformedResponse, "machine %q has state %q", machine.ID, machine.State)
	}
	return nil
}

func decodeWeightStoreStatus(body []byte) (WeightStoreStatus, error) {
	var status WeightStoreStatus
	if err := json.Unmarshal(body, &status); err != nil {
		return WeightStoreStatus{}, errors.Wrap(ErrMalformedResponse, err.Error())
	}
	if status.Loading < 0 || status.Limit < 0 {
		return WeightStoreStatus{}, errors.Wrap(ErrMalformedResponse, "negative count")
	}
	return status, nil
}
