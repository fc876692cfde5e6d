package operator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// table defines the columns of a "show" table and how its rows are read.
type table struct {
	columns []string
	rows    func(Source) []Row
}

// tables contains the "show" tables by name.
var tables = map[string]table{
	"engines": {
		columns: []string{
			"engine", "incarnation", "address", "zone", "pool", "role", "state", "leaving_by", "owned", "in_flight", "prefill_tokens",
			"cached_blocks", "cache_trusted", "loaded",
		},
		rows: engineRows,
	},
	"routers": {
		columns: []string{"router", "address", "region", "zone", "state"},
		rows:    routerRows,
	},
	"tenants": {
		columns: []string{"tenant", "weight", "classes", "models", "max_concurrent", "max_waiting"},
		rows:    tenantRows,
	},
	"models": {
		columns: []string{"model", "version", "state", "pool", "loaded_by"},
		rows:    modelRows,
	},
	"directives": {
		columns: []string{"engine", "incarnation", "directive", "role"},
		rows:    directiveRows,
	},
	"waiting": {
		columns: []string{"request", "attempt", "tenant", "class", "model", "version", "waited", "reason"},
		rows:    waitingRows,
	},
	"revision": {
		columns: []string{"revision"},
		rows:    revisionRows,
	},
	"version": {
		columns: []string{"version"},
		rows:    func(source Source) []Row { return []Row{{source.Version()}} },
	},
}

// rowFilter selects the rows whose cell at position equals value, or doesn't if equal is false.
type rowFilter struct {
	position int
	value    string
	equal    bool
}

func planShow(show *ShowStatement, source Source) (Plan, error) {
	selected := tables[show.Table]
	filters, err := planFilters(show, selected)
	if err != nil {
		return Plan{}, err
	}
	return Plan{Query: func() Result { return listTable(source, selected, filters) }}, nil
}

func planFilters(show *ShowStatement, selected table) ([]rowFilter, error) {
	var filters []rowFilter
	for _, shorthand := range []struct {
		column string
		value  *Word
	}{{"class", show.Class}, {"tenant", show.Tenant}} {
		if shorthand.value == nil {
			continue
		}
		position := slices.Index(selected.columns, shorthand.column)
		if show.Table != "waiting" {
			return nil, unknownColumn(shorthand.value.Pos.Column, shorthand.column, selected)
		}
		filters = append(filters, rowFilter{position: position, value: shorthand.value.Text, equal: true})
	}
	for _, filter := range show.Filters {
		position := slices.Index(selected.columns, filter.Column.Text)
		if position < 0 {
			return nil, unknownColumn(filter.Column.Pos.Column, filter.Column.Text, selected)
		}
		filters = append(filters, rowFilter{position: position, value: filter.Value.Text, equal: filter.Operator == "="})
	}
	return filters, nil
}

func unknownColumn(column int, name string, selected table) *PlanError {
	message := fmt.Sprintf("no column %q to filter by; there are %s", name, strings.Join(selected.columns, ", "))
	if suggestion := closestMatch(name, selected.columns); suggestion != "" {
		message += fmt.Sprintf("; did you mean %q?", suggestion)
	}
	return &PlanError{Code: resultcode.StatementSyntax, Column: column, Message: message}
}

func listTable(source Source, selected table, filters []rowFilter) Result {
	result := Result{Columns: newColumns(selected.columns)}
	for _, row := range selected.rows(source) {
		if matchesAll(row, filters) {
			result.Rows = append(result.Rows, row)
		}
	}
	return result
}

func newColumns(names []string) []Column {
	columns := make([]Column, 0, len(names))
	for _, name := range names {
		columns = append(columns, Column{Name: name})
	}
	return columns
}

func matchesAll(row Row, filters []rowFilter) bool {
	for _, filter := range filters {
		if (row[filter.position] == filter.value) != filter.equal {
			return false
		}
	}
	return true
}

func engineRows(source Source) []Row {
	var rows []Row
	for _, engine := range source.Engines() {
		var loaded []string
		for _, modelVersion := range engine.Loaded {
			loaded = append(loaded, formatModelName(modelVersion)+"@"+string(modelVersion.Version))
		}
		rows = append(rows, Row{
			string(engine.Run.Engine), formatIncarnation(engine.Run), string(engine.Address), string(engine.Zone),
			string(engine.Pool), engine.Role, engine.State, engine.LeavingBy, formatYesNo(engine.Owned), strconv.Itoa(engine.InFlight),
			strconv.Itoa(engine.PrefillTokens), strconv.Itoa(engine.CachedBlocks), formatYesNo(engine.CacheTrusted), strings.Join(loaded, ","),
		})
	}
	return rows
}

func formatYesNo(flag bool) string {
	if flag {
		return "yes"
	}
	return "no"
}

func formatIncarnation(run fleet.EngineRun) string {
	return strconv.FormatUint(uint64(run.Incarnation), 10)
}

func routerRows(source Source) []Row {
	var rows []Row
	for _, router := range source.Routers() {
		rows = append(rows, Row{string(router.Node), string(router.Address), string(router.Region), string(router.Zone), router.State})
	}
	return rows
}

func tenantRows(source Source) []Row {
	document, _ := source.Configuration()
	var rows []Row
	for _, tenant := range document.Tenants {
		models := "all"
		if len(tenant.Models) > 0 {
			models = joinNames(tenant.Models)
		}
		rows = append(rows, Row{
			string(tenant.Name), strconv.FormatFloat(tenant.Weight, 'g', -1, 64), joinNames(tenant.Classes), models,
			strconv.Itoa(tenant.MaxConcurrent), strconv.Itoa(tenant.MaxWaiting),
		})
	}
	return rows
}

func joinNames[Name ~string](names []Name) string {
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, string(name))
	}
	return strings.Join(texts, ",")
}

func modelRows(source Source) []Row {
	document, _ := source.Configuration()
	loaded := make(map[fleet.ModelVersion]int)
	for _, engine := range source.Engines() {
		for _, modelVersion := range engine.Loaded {
			loaded[modelVersion]++
		}
	}
	var rows []Row
	add := func(model config.Model, adapter fleet.AdapterName, versions []config.Version) {
		for _, version := range versions {
			modelVersion := fleet.ModelVersion{Model: model.Name, Adapter: adapter, Version: version.Name}
			rows = append(rows, Row{
				formatModelName(modelVersion), string(version.Name), string(version.State), string(model.Pool), strconv.Itoa(loaded[modelVersion]),
			})
		}
	}
	for _, model := range document.Models {
		add(model, "", model.Versions)
		for _, adapter := range model.Adapters {
			add(model, adapter.Name, adapter.Versions)
		}
	}
	return rows
}

func directiveRows(source Source) []Row {
	document, _ := source.Configuration()
	var rows []Row
	for _, directive := range document.Directives {
		run := fleet.EngineRun{Engine: directive.Engine, Incarnation: directive.Incarnation}
		rows = append(rows, Row{string(directive.Engine), formatIncarnation(run), string(directive.Kind), directive.Role})
	}
	return rows
}

func waitingRows(source Source) []Row {
	var rows []Row
	for _, waiting := range source.Waiting() {
		rows = append(rows, Row{
			string(waiting.Request), strconv.FormatUint(uint64(waiting.Attempt), 10), string(waiting.Tenant), string(waiting.Class),
			formatModelName(waiting.ModelVersion), string(waiting.ModelVersion.Version), formatDuration(waiting.Waited), waiting.Reason,
		})
	}
	return rows
}

func formatDuration(duration time.Duration) string { return duration.Round(time.Millisecond).String() }

func formatCost(cost time.Duration) string { return cost.Round(time.Microsecond).String() }

func revisionRows(source Source) []Row {
	document, known := source.Configuration()
	if !known {
		return []Row{{"none"}}
	}
	return []Row{{strconv.FormatUint(uint64(document.Revision), 10)}}
}

func listHolders(source Source, hashes []fleet.BlockHash) Result {
	result := Result{Columns: newColumns([]string{"engine", "incarnation", "blocks", "of"})}
	for _, holder := range source.Holders(hashes) {
		result.Rows = append(result.Rows, Row{
			string(holder.Run.Engine), formatIncarnation(holder.Run), strconv.Itoa(holder.Blocks), strconv.Itoa(len(hashes)),
		})
	}
	return result
}

func explainRequest(source Source, request fleet.RequestID) Result {
	explanation, found := source.Explain(request)
	if !found {
		return failure(resultcode.TargetNotFound, unknownRequestMessage(request))
	}
	result := Result{
		Message: explanation.Outcome,
		Columns: newColumns([]string{
			"engine", "incarnation", "chosen", "rejected", "cached_tokens", "queue", "prefill", "interference", "zone", "recompute",
		}),
	}
	for _, candidate := range explanation.Candidates {
		result.Rows = append(result.Rows, Row{
			string(candidate.Run.Engine), formatIncarnation(candidate.Run), strconv.FormatBool(candidate.Chosen), candidate.Rejected,
			strconv.Itoa(candidate.CachedTokens), formatCost(candidate.Queue), formatCost(candidate.Prefill),
			formatCost(candidate.Interference), formatCost(candidate.Zone), formatCost(candidate.Recompute),
		})
	}
	return result
}
