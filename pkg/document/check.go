package document

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"sort"

	"crocusseam/pkg/routing"
)

// Bounds of a document's values.
const (
	maxSlots         = 1024
	maxConnections   = 65536
	maxEndpoints     = 10_000
	maxNameLength    = 64
	hashBytes        = 32
	maxPriority      = 1000
	maxAttemptsLimit = 20
)

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func (c *checker) checkDocument(d *Document) {
	c.checkName("Environment", d.Environment)
	if len(d.Domains) == 0 {
		c.add("Domains", "an empty list", "at least one failure domain")
	}
	if len(d.Teams) == 0 {
		c.add("Teams", "an empty list", "at least one team")
	}
	c.checkDomains(d)
	c.checkTeams(d)
	c.checkClasses(d)
	for i, o := range d.Operators {
		c.checkHash(fmt.Sprintf("Operators[%d]", i), o)
	}
	if routing.New(d.Routing.Policy, 0) == nil {
		c.add("Routing.Policy", quote(string(d.Routing.Policy)), "EarliestCompletion, Random or RoundRobin")
	}
	c.checkRange("Routing.RetryBudgetPercent", d.Routing.RetryBudgetPercent, 0, 100)
}

func quote(text string) string { return fmt.Sprintf("%q", text) }

func (c *checker) checkName(path, name string) {
	if name == "" || len(name) > maxNameLength {
		c.add(path, quote(name), fmt.Sprintf("a name of 1 to %d letters", maxNameLength))
		return
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.' && r != ' ' {
			c.add(path, quote(name), "letters, digits, spaces, '-', '_' and '.'")
			return
		}
	}
}

func (c *checker) checkHash(path, hash string) {
	if b, err := hex.DecodeString(hash); err != nil || len(b) != hashBytes {
		c.add(path, quote(hash), "the SHA-256 hash of a token in hexadecimal (see crocus keys)")
	}
}

func (c *checker) checkRange(path string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.add(path, fmt.Sprint(value), fmt.Sprintf("%g to %g", low, high))
	}
}

// unique reports each value that comes a second time.
func checkUnique[K comparable](c *checker, seen map[K]string, path string, value K) {
	if first, taken := seen[value]; taken {
		c.add(path, fmt.Sprintf("%q", fmt.Sprint(value)), "a value that "+first+" does not have")
		return
	}
	seen[value] = path
}

func (c *checker) checkDomains(d *Document) {
	names := map[string]string{}
	endpoints := map[netip.AddrPort]string{}
	for i := range d.Domains {
		path := fmt.Sprintf("Domains[%d]", i)
		c.checkName(path+".Name", d.Domains[i].Name)
		checkUnique(c, names, path+".Name", d.Domains[i].Name)
		groups := map[string]string{}
		for k := range d.Domains[i].Groups {
			g := &d.Domains[i].Groups[k]
			at := fmt.Sprintf("%s.Groups[%d]", path, k)
			checkUnique(c, groups, at+".Name", g.Name)
			c.checkGroup(at, g, endpoints)
		}
	}
	if len(endpoints) > maxEndpoints {
		c.add("Domains", fmt.Sprintf("%d endpoints", len(endpoints)), fmt.Sprintf("at most %d", maxEndpoints))
	}
}

func (c *checker) checkGroup(path string, g *Group, endpoints map[netip.AddrPort]string) {
	c.checkName(path+".Name", g.Name)
	c.checkRange(path+".Slots", float64(g.Slots), 1, maxSlots)
	c.checkRange(path+".Connections", float64(g.Connections), float64(max(g.Slots, 1)), maxConnections)
	c.checkRange(path+".Processors", float64(g.Processors), 0, 1<<20)
	c.checkRange(path+".MemoryBytes", float64(g.MemoryBytes), 0, 1<<60)
	c.checkRange(path+".Accelerators", float64(g.Accelerators), 0, 1<<20)
	for i, a := range g.Endpoints {
		at := fmt.Sprintf("%s.Endpoints[%d]", path, i)
		if !a.IsValid() || a.Port() == 0 {
			c.add(at, quote(a.String()), allowedTexts["AddrPort"])
			continue
		}
		checkUnique(c, endpoints, at, a)
	}
}

func (c *checker) checkTeams(d *Document) {
	names := map[string]string{}
	for i := range d.Teams {
		t := &d.Teams[i]
		path := fmt.Sprintf("Teams[%d]", i)
		c.checkName(path+".Name", t.Name)
		checkUnique(c, names, path+".Name", t.Name)
		if t.TokenHash != "" {
			c.checkHash(path+".TokenHash", t.TokenHash)
		}
		c.checkRange(path+".Quota", float64(t.Quota), 0, 1<<30)
		c.checkRange(path+".Weight", float64(t.Weight), 0, 1<<20)
	}
}

func (c *checker) checkClasses(d *Document) {
	names := map[string]string{}
	for i := range d.Classes {
		class := &d.Classes[i]
		path := fmt.Sprintf("Classes[%d]", i)
		c.checkName(path+".Name", class.Name)
		checkUnique(c, names, path+".Name", class.Name)
		c.checkRange(path+".Priority", float64(class.Priority), -maxPriority, maxPriority)
		c.checkRange(path+".MaxAttempts", float64(class.MaxAttempts), 1, maxAttemptsLimit)
		c.checkRange(path+".ObjectivePercent", class.ObjectivePercent, 0, 100)
		if class.MaxQueueWait <= 0 {
			c.add(path+".MaxQueueWait", formatValue(class.MaxQueueWait), "a duration above 0s")
		}
		if class.Objective <= 0 {
			c.add(path+".Objective", formatValue(class.Objective), "a duration above 0s")
		}
		if class.Hedge.Enabled {
			c.checkRange(path+".Hedge.After", class.Hedge.After, 1, 100)
			c.checkRange(path+".Hedge.BudgetPercent", class.Hedge.BudgetPercent, 0, 50)
		}
	}
}
