package platform

// Paths of the platform's HTTP protocol. Bodies are JSON, but for objects,
// which are sent as they are.
const (
	// PathRow answers GET ?key= with a Row.
	PathRow = "/v1/tables/row"
	// PathRows answers GET ?prefix=&after=&limit= with RowsResponse.
	PathRows = "/v1/tables/rows"
	// PathCommit takes POST of a Transaction.
	PathCommit = "/v1/tables/commit"
	// PathObject answers GET ?name= and takes PUT ?name=.
	PathObject = "/v1/objects"
	// PathMachines answers GET with MachinesResponse.
	PathMachines = "/v1/machines"
	// PathWeights answers GET with WeightStoreStatus.
	PathWeights = "/v1/weights"
)

// Names of query parameters.
const (
	ParameterKey    = "key"
	ParameterPrefix = "prefix"
	ParameterAfter  = "after"
	ParameterLimit  = "limit"
	ParameterName   = "name"
)

// MaxListRows is the greatest number of rows that one List returns.
const MaxListRows = 1000

// RowsResponse is the body of an answer from PathRows.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// MachinesResponse is the body of an answer from PathMachines.
type MachinesResponse struct {
	Machines []Machine `json:"machines"`
}

// ErrorResponse is the body of every answer with a status of 400 or more.
type ErrorResponse struct {
	Message string `json:"message"`
}
