package measure

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// Traffic describes the requests of one class.
type Traffic struct {
	Class table.ClassName
	// Share is the class's share of the capacity of all engines under the steady
	// load; zero for plain services.
	Share float64
	// Rate is the number of requests per second, for plain services.
	Rate float64
	// Median and Sigma are the parameters of the length of answers in tokens,
	// which has a lognormal distribution capped at the class's MaxTokens.
	Median, Sigma float64
	// Services are the services of which each request uses one, chosen at random.
	Services []table.ServiceName
}

// Deployment is a table and the traffic under which it is measured.
type Deployment struct {
	Name    string
	Table   *table.Table
	Traffic []Traffic
	// CrossDataCentreDelay is the one-way network delay between two data centres.
	CrossDataCentreDelay time.Duration
	// BurstClass is the class whose demand is raised under burst loads.
	BurstClass table.ClassName
}

// sameDataCentreDelay is the one-way network delay between two VMs of a data
// centre.
const sameDataCentreDelay = 200 * time.Microsecond

// steadyLoad is the sum of the shares of a deployment's traffic.
const steadyLoad = 0.7

var deployments = []Deployment{
	{
		Name: "pitchline", CrossDataCentreDelay: 1200 * time.Microsecond, BurstClass: "vendor_notice",
		Traffic: []Traffic{
			{Class: "booth_question", Share: 0.20, Median: 40, Sigma: 0.7, Services: []table.ServiceName{"pitch-small"}},
			{Class: "vendor_notice", Share: 0.25, Median: 150, Sigma: 0.8, Services: []table.ServiceName{"pitch-small"}},
			{Class: "season_summary", Share: 0.25, Median: 500, Sigma: 0.9, Services: []table.ServiceName{"pitch-large"}},
			{Class: "pitch_booking", Rate: 10},
			{Class: "pitch_lookup", Rate: 30},
		},
	},
	{
		Name: "ahmedabad", CrossDataCentreDelay: 500 * time.Microsecond, BurstClass: "relocation_manifest",
		Traffic: []Traffic{
			{Class: "crate_label", Share: 0.15, Median: 20, Sigma: 0.6, Services: []table.ServiceName{"label-mini"}},
			{Class: "relocation_manifest", Share: 0.30, Median: 600, Sigma: 0.9, Services: []table.ServiceName{"manifest-large", "manifest-base"}},
			{Class: "inventory_check", Share: 0.25, Median: 1200, Sigma: 0.9, Services: []table.ServiceName{"manifest-large", "manifest-base"}},
			{Class: "crate_booking", Rate: 10},
			{Class: "crate_lookup", Rate: 40},
		},
	},
}

// ReadDeployments reads the tables of all deployments from the subdirectories of
// a directory that have the deployments' names.
func ReadDeployments(directory string) ([]*Deployment, error) {
	var all []*Deployment
	for _, d := range deployments {
		t, err := readTable(filepath.Join(directory, d.Name))
		if err != nil {
			return nil, fmt.Errorf("read deployment %s: %w", d.Name, err)
		}
		d.Table = t
		all = append(all, &d)
	}
	return all, nil
}

func readTable(directory string) (*table.Table, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.csv"))
	if err != nil {
		return nil, err
	}
	var sections []table.Section
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, err
		}
		sections = append(sections, table.Section{Name: strings.TrimSuffix(filepath.Base(p), ".csv"), Data: data})
	}
	t, faults := table.Parse(sections)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return t, nil
}

// upstreams returns the table's upstreams, sorted by name.
func (d *Deployment) upstreams() []table.Upstream {
	var rows []table.Upstream
	for _, u := range d.Table.Upstreams {
		rows = append(rows, u)
	}
	slices.SortFunc(rows, func(a, b table.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

// dataCentres returns the sorted names of the data centres.
func (d *Deployment) dataCentres() []table.DataCentreName {
	var names []table.DataCentreName
	for n := range d.Table.DataCentres {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// slots returns the capacity of all engines in concurrent requests.
func (d *Deployment) slots() float64 {
	n := 0
	for _, u := range d.Table.Upstreams {
		if u.Kind == table.Engine {
			n += u.Limit
		}
	}
	return float64(n)
}

// requestRate converts a share of the capacity to requests per second.
func (d *Deployment) requestRate(t Traffic, share float64) float64 {
	fullBatchGap := float64(minTokenGap + tokenGapPerFill)
	jobTime := time.Duration(d.meanTokens(t)*fullBatchGap) + firstTokenTime
	return share * d.slots() / jobTime.Seconds()
}

// meanTokens estimates the mean length of the class's answers by sampling.
func (d *Deployment) meanTokens(t Traffic) float64 {
	const draws = 20000
	random := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	for range draws {
		sum += float64(d.drawTokens(t, random))
	}
	return sum / draws
}

// drawTokens draws the length of an answer, which is 1 for plain services.
func (d *Deployment) drawTokens(t Traffic, random *rand.Rand) table.Tokens {
	if t.Median == 0 {
		return 1
	}
	n := t.Median * math.Exp(t.Sigma*random.NormFloat64())
	return table.Tokens(max(1, min(n, float64(d.Table.Classes[t.Class].MaxTokens))))
}

// accounts returns the client accounts that may use a class, sorted by name.
func (d *Deployment) accounts(class table.ClassName) []table.Account {
	var all []table.Account
	for _, a := range d.Table.Accounts {
		if slices.Contains(a.Classes, class) {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b table.Account) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// lowestTierClasses returns the classes of the lowest tier.
func (d *Deployment) lowestTierClasses() []table.Class {
	var tier table.Tier
	for _, c := range d.Table.Classes {
		tier = max(tier, c.Tier)
	}
	var classes []table.Class
	for _, c := range d.Table.Classes {
		if c.Tier == tier {
			classes = append(classes, c)
		}
	}
	return classes
}

// shortestMaxWait returns the shortest MaxWait of the classes of the lowest tier.
func (d *Deployment) shortestMaxWait() time.Duration {
	wait := d.lowestTierClasses()[0].MaxWait
	for _, c := range d.lowestTierClasses() {
		wait = min(wait, c.MaxWait)
	}
	return wait
}
