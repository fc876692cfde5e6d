package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/tillerfall/tillerfall/internal/operator"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Columns of "show routers" with the routers' names and addresses.
const (
	columnRouter  = "router"
	columnAddress = "address"
)

// routerAnswer is the result of a query at one router.
type routerAnswer struct {
	router  string
	address string
	result  operator.Result
}

// executeOnAllRouters sends a query to all routers that f.Router lists and prints the results as
// one table.
func (f operatorFlags) executeOnAllRouters(statement string) error {
	parsed, err := operator.Parse(statement)
	if err != nil {
		return resultcode.New(resultcode.StatementSyntax, err.Error())
	}
	if !parsed.IsQuery() {
		return resultcode.New(resultcode.StatementSyntax, "only show, where and explain can be sent to all routers")
	}
	answers, err := f.listRouters()
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	for index := range answers {
		group.Go(func() { f.queryRouter(&answers[index], statement) })
	}
	group.Wait()
	return f.print(mergeAnswers(answers))
}

// listRouters returns the routers in the order of f.Router's list, without results.
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
		// The error from send may say that a command's effect is unknown; a query has no effect.
		result = operator.Result{Code: resultcode.NoRouter, Message: "no answer from " + answer.address}
	}
	answer.result = result
}

// mergeAnswers joins the routers' tables and adds a column with the router's name. TargetNotFound
// counts only if no router has found the target, as most routers don't have a given request. Any
// other failure is the failure of the whole.
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

// addAnswer appends a router's rows. The code of the first failure is kept.
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

// mergedColumn returns the name of the added column, which must differ from those of the tables.
func mergedColumn(columns []operator.Column) string {
	if slices.Contains(columns, operator.Column{Name: columnRouter}) {
		return "asked"
	}
	return columnRouter
}
