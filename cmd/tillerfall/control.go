package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/twitchtv/twirp"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/operator"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// operatorFlags are the flags of the commands that call a router.
type operatorFlags struct {
	Router  string        `long:"router" short:"r" default:"127.0.0.1:7700" env:"TILLERFALL_ROUTER" description:"Numeric HOST:PORT of any router"`
	Token   string        `long:"token" description:"Token that identifies a command across retries; a random one by default"`
	Expect  uint64        `long:"expect" description:"Revision that the command is based on; 0 accepts any"`
	JSON    bool          `long:"json" description:"Print the result as JSON"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"Longest wait for the router"`
}

// controlCommand executes one statement from its arguments or standard input.
type controlCommand struct {
	operatorFlags
	AllRouters bool `long:"all-routers" description:"Put a query to every router that the named one lists"`
	Args       struct {
		Words []string `positional-arg-name:"STATEMENT" description:"Statement; standard input if left out"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *controlCommand) Execute([]string) error {
	statement := strings.Join(c.Args.Words, " ")
	if statement == "" {
		input, err := io.ReadAll(io.LimitReader(os.Stdin, operator.MaxStatementBytes))
		if err != nil {
			return errors.Wrap(err, "read standard input")
		}
		statement = strings.TrimSpace(string(input))
	}
	if c.AllRouters {
		return c.executeOnAllRouters(statement)
	}
	return c.execute(statement)
}

// applyCommand commits a configuration file.
type applyCommand struct {
	operatorFlags
	Args struct {
		File string `positional-arg-name:"FILE" description:"Configuration (YAML)"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	source, err := os.ReadFile(c.Args.File)
	if err != nil {
		return resultcode.New(resultcode.ConfigInvalid, err.Error())
	}
	// The YAML starts on the statement's first line, so that line numbers in errors are those of
	// the file.
	return c.execute("apply " + string(source))
}

// execute sends a statement to the router and prints the result.
func (f operatorFlags) execute(statement string) error {
	result, err := f.send(f.Router, statement)
	if err != nil {
		return err
	}
	return f.print(result)
}

// send sends a statement to a router. A returned error is a *resultcode.Error.
func (f operatorFlags) send(router, statement string) (operator.Result, error) {
	token := f.Token
	if token == "" {
		token = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	client := rpc.NewOperationsProtobufClient("http://"+router, newOperationsClient())
	response, err := client.Execute(ctx, &rpc.ExecuteRequest{
		Header: &rpc.Header{Sender: "ctl"}, Statement: statement, Token: token, ExpectedRevision: f.Expect,
	})
	if err != nil {
		return operator.Result{}, callError(err, statement, token)
	}
	return decodeResult(response), nil
}

// newOperationsClient returns a client without connection reuse, which never retries a call by
// itself.
func newOperationsClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// callError distinguishes calls that certainly reached no router from those whose effect is
// unknown.
func callError(err error, statement, token string) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return resultcode.New(resultcode.NoRouter, dial.Error())
	}
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Code() == twirp.Malformed {
		return resultcode.New(resultcode.StatementSyntax, refused.Msg())
	}
	if parsed, parseErr := operator.Parse(statement); parseErr == nil && parsed.IsReadOnly() {
		return resultcode.New(resultcode.NoRouter, "the router's answer was lost: "+err.Error())
	}
	return resultcode.New(resultcode.CommandUncertain,
		"the router's answer was lost: "+err.Error()+"; repeat the statement with --token "+token+", or ask with: lookup "+token)
}

func decodeResult(response *rpc.ExecuteResponse) operator.Result {
	result := operator.Result{
		Code:        resultcode.Code(response.GetCode()),
		Message:     response.GetMessage(),
		Token:       response.GetToken(),
		Revision:    fleet.Revision(response.GetRevision()),
		ErrorColumn: int(response.GetErrorColumn()),
	}
	for _, column := range response.GetColumns() {
		result.Columns = append(result.Columns, operator.Column{Name: column.GetName()})
	}
	for _, row := range response.GetRows() {
		result.Rows = append(result.Rows, operator.Row(row.GetCells()))
	}
	return result
}

// print writes a result to standard output. A failed result is also returned as an error.
func (f operatorFlags) print(result operator.Result) error {
	if err := f.write(result); err != nil {
		return err
	}
	if result.Code != resultcode.OK {
		return resultcode.New(result.Code, result.Message)
	}
	return nil
}

func (f operatorFlags) write(result operator.Result) error {
	if f.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	if result.Code != resultcode.OK {
		// Rows of the routers that answered are printed even if another router failed.
		result = operator.Result{Columns: result.Columns, Rows: result.Rows}
	}
	return result.WriteText(os.Stdout)
}
