package platform

// Paths of the platform's HTTP protocol. Bodies are JSON, except for objects, which are sent
// unencoded.
const (
	// PathRow serves GET ?key= with a Row.
	PathRow = "/v1/tables/row"
	// PathRows serves GET ?prefix=&after=&limit= with a RowsResponse.
	PathRows = "/v1/tables/rows"
	// PathCommit accepts POST of a Transaction.
	PathCommit = "/v1/tables/commit"
	// PathObject serves GET ?name= and accepts PUT ?name=.
	PathObject = "/v1/objects"
	// PathMachines serves GET with a MachinesResponse.
	PathMachines = "/v1/machines"
	// PathWeights serves GET with a WeightStoreStatus.
	PathWeights = "/v1/weights"
)

// Query parameters.
const (
	ParameterKey    = "key"
	ParameterPrefix = "prefix"
	ParameterAfter  = "after"
	ParameterLimit  = "limit"
	ParameterName   = "name"
)

// MaxListRows is the maximum number of rows that one call of List returns.
const MaxListRows = 1000

// RowsResponse is the body of a response from PathRows.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// MachinesResponse is the body of a response from PathMachines.
type MachinesResponse struct {
	Machines []Machine `json:"machines"`
}

// ErrorResponse is the body of every response with a status of 400 or more.
type ErrorResponse struct {
	Message string `json:"message"`
}
