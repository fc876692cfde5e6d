package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/tillerfall/tillerfall/internal/operator"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Columns of "show routers" that tell where to ask.
const (
	columnRouter  = "router"
	columnAddress = "address"
)

// routerAnswer is what one router answered to a query.
type routerAnswer struct {
	router  string
	address string
	result  operator.Result
}

// executeOnAllRouters puts a query to every router that the named one lists, and
// prints the answers as one table.
func (f operatorFlags) executeOnAllRouters(statement string) error {
	parsed, err := operator.Parse(statement)
	if err != nil {
		return resultcode.New(resultcode.StatementSyntax, err.Error())
	}
	if !parsed.IsQuery() {
		return resultcode.New(resultcode.StatementSyntax, "only show, where and explain can be put to all routers")
	}
	answers, err := f.listRouters()
	if err != nil {
		return err
	}
	var asked sync.WaitGroup
	for index := range answers {
		asked.Go(func() { f.queryRouter(&answers[index], statement) })
	}
	asked.Wait()
	return f.print(mergeAnswers(answers))
}

// listRouters returns the routers to ask, in the order of the named one.
func (f operatorFlags) listRouters() ([]routerAnswer, error) {
	listed, err := f.send(f.Router, "show routers")
	if err != nil {
		return nil, err
	}
	if listed.Code != resultcode.OK {
		return nil, resultcode.New(listed.Code, listed.Message)
	}
	router := slices.Index(listed.Columns, operator.Column{Name: columnRouter})
	address := slices.Index(listed.Columns, operator.Column{Name: columnAddress})
	if router < 0 || address < 0 {
		return nil, resultcode.New(resultcode.Internal, "the router's list has no names or addresses")
	}
	answers := make([]routerAnswer, 0, len(listed.Rows))
	for _, row := range listed.Rows {
		answers = append(answers, routerAnswer{router: row[router], address: row[address]})
	}
	return answers, nil
}

func (f operatorFlags) queryRouter(answer *routerAnswer, statement string) {
	result, err := f.send(answer.address, statement)
	if err != nil {
		// The call's own account speaks of commands; a query had no effect.
		result = operator.Result{Code: resultcode.NoRouter, Message: "no answer from " + answer.address}
	}
	answer.result = result
}

// mergeAnswers joins the routers' tables under a column for the router. Most
// routers don't know a given request, so a target that one of them knows is
// found; any other failure is the failure of the whole.
func mergeAnswers(answers []routerAnswer) operator.Result {
	found := slices.ContainsFunc(answers, func(answer routerAnswer) bool { return answer.result.Code == resultcode.OK })
	var merged operator.Result
	var messages []string
	for _, answer := range answers {
		if answer.result.Code == resultcode.TargetNotFound && found {
			continue
		}
		addAnswer(&merged, answer)
		if answer.result.Message != "" {
			messages = append(messages, fmt.Sprintf("%s: %s", answer.router, answer.result.Message))
		}
	}
	merged.Message = strings.Join(messages, "; ")
	return merged
}

// addAnswer adds a router's rows; the first failure is kept.
func addAnswer(merged *operator.Result, answer routerAnswer) {
	result := answer.result
	if merged.Code == resultcode.OK {
		merged.Code = result.Code
	}
	if len(merged.Columns) == 0 && len(result.Columns) > 0 {
		merged.Columns = append([]operator.Column{{Name: mergedColumn(result.Columns)}}, result.Columns...)
	}
	for _, row := range result.Rows {
		merged.Rows = append(merged.Rows, append(operator.Row{answer.router}, row...))
	}
}

// mergedColumn names the added column, unless the routers' table has that name.
func mergedColumn(columns []operator.Column) string {
	if slices.Contains(columns, operator.Column{Name: columnRouter}) {
		return "asked"
	}
	return columnRouter
}
