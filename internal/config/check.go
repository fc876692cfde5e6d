package config

import (
	"fmt"

	"github.com/tillerfall/tillerfall/internal/config/strictyaml"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// check validates the fields of a document, then the rules between fields.
func check(document *Document, positions strictyaml.Positions) Problems {
	checker := &crossFieldChecker{
		positions:     positions,
		problems:      strictyaml.Validate(document, positions),
		classes:       make(map[fleet.ClassName]bool, len(document.Classes)),
		models:        make(map[fleet.ModelName]bool, len(document.Models)),
		pools:         make(map[fleet.PoolName]bool, len(document.Pools)),
		firstKeyPaths: make(map[string]string, len(document.Tenants)),
	}
	checker.collectNames(document)
	checker.checkTenants(document.Tenants)
	checker.checkClasses(document.Classes)
	checker.checkModels(document.Models)
	checker.checkDirectives(document.Directives)
	checker.problems.Sort()
	return checker.problems
}

// crossFieldChecker validates fields that depend on other fields.
type crossFieldChecker struct {
	positions strictyaml.Positions
	problems  Problems
	classes   map[fleet.ClassName]bool
	models    map[fleet.ModelName]bool
	pools     map[fleet.PoolName]bool
	// firstKeyPaths maps a key hash to the path where it occurs first.
	firstKeyPaths map[string]string
}

func (c *crossFieldChecker) report(field, format string, arguments ...any) {
	c.problems = append(c.problems, c.positions.Problem(field, fmt.Sprintf(format, arguments...)))
}

func (c *crossFieldChecker) collectNames(document *Document) {
	for _, class := range document.Classes {
		c.classes[class.Name] = true
	}
	for _, model := range document.Models {
		c.models[model.Name] = true
	}
	for _, pool := range document.Pools {
		c.pools[pool.Name] = true
	}
}

func (c *crossFieldChecker) checkTenants(tenants []Tenant) {
	for index, tenant := range tenants {
		path := fmt.Sprintf("tenants[%d]", index)
		checkReferences(c, path+".classes", "class", tenant.Classes, c.classes)
		checkReferences(c, path+".models", "model", tenant.Models, c.models)
		c.checkKeys(path+".key_hashes", tenant.KeyHashes)
	}
}

func (c *crossFieldChecker) checkKeys(path string, hashes []string) {
	for index, hash := range hashes {
		field := fmt.Sprintf("%s[%d]", path, index)
		if first, found := c.firstKeyPaths[hash]; found {
			c.report(field, "the key occurs already as %s", first)
			continue
		}
		c.firstKeyPaths[hash] = field
	}
}

// checkReferences reports names in a list that are unknown or listed twice.
func checkReferences[Name ~string](c *crossFieldChecker, path, noun string, names []Name, known map[Name]bool) {
	seen := make(map[Name]bool, len(names))
	for index, name := range names {
		field := fmt.Sprintf("%s[%d]", path, index)
		if !known[name] {
			c.report(field, "unknown %s %q", noun, string(name))
		}
		if seen[name] {
			c.report(field, "%s %q is listed twice", noun, string(name))
		}
		seen[name] = true
	}
}

func (c *crossFieldChecker) checkClasses(classes []Class) {
	byRank := make(map[int]fleet.ClassName, len(classes))
	totalShare := 0.0
	for index, class := range classes {
		if other, found := byRank[class.Rank]; found {
			c.report(fmt.Sprintf("classes[%d].rank", index), "class %q has rank %d already", other, class.Rank)
		} else {
			byRank[class.Rank] = class.Name
		}
		totalShare += class.MinShare
	}
	if totalShare >= 1 {
		c.report("classes", "the min_share values must add up to less than 1, they add up to %g", totalShare)
	}
}

func (c *crossFieldChecker) checkModels(models []Model) {
	for index, model := range models {
		path := fmt.Sprintf("models[%d]", index)
		if model.Pool != "" && !c.pools[model.Pool] {
			c.report(path+".pool", "unknown pool %q", string(model.Pool))
		}
		c.checkVersions(path+".versions", model.Versions)
		for adapterIndex, adapter := range model.Adapters {
			c.checkVersions(fmt.Sprintf("%s.adapters[%d].versions", path, adapterIndex), adapter.Versions)
		}
	}
}

func (c *crossFieldChecker) checkVersions(path string, versions []Version) {
	if len(versions) == 0 {
		return
	}
	serving := 0
	for _, version := range versions {
		if version.State == VersionServing {
			serving++
		}
	}
	if serving != 1 {
		c.report(path, "exactly one version must be serving, found %d", serving)
	}
}

func (c *crossFieldChecker) checkDirectives(directives []Directive) {
	seen := make(map[directiveKey]bool, len(directives))
	for index, directive := range directives {
		key := keyOf(directive)
		if seen[key] {
			c.report(fmt.Sprintf("directives[%d]", index), "engine %q has a directive %s already", directive.Engine, directive.Kind)
		}
		seen[key] = true
	}
}
