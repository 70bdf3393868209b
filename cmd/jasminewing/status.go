package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"jasminewing.dev/jasminewing/internal/admin"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/setting"
	"jasminewing.dev/jasminewing/pkg/result"
)

//go:embed status_usage.txt
var statusUsageText string

var statusSubcommand = subcommand{
	name:    "status",
	summary: "show the state of a running process and the reasons for it",
	usage:   statusUsageText,
	command: func(o output) flags.Commander { return &statusCommand{output: o} },
}

const statusTimeout = 5 * time.Second

// statusCommand shows the state of a running process.
type statusCommand struct {
	Admin fleet.Address  `long:"admin" value-name:"IP:PORT" default:"127.0.0.1:9401" description:"admin listener of the process"`
	Token setting.Secret `long:"token" env:"JASMINEWING_ADMIN_TOKEN" value-name:"TOKEN" default-mask:"-" description:"bearer token of the administration API; prefer the environment variable"`
	JSON  bool           `long:"json" description:"print JSON"`

	output
}

// statusReport holds the responses of the administration API. Upstreams and
// Classes are nil for a sidecar and for a gateway without a table.
type statusReport struct {
	Status    admin.Status     `json:"status"`
	Upstreams *admin.Upstreams `json:"upstreams,omitempty"`
	Classes   *admin.Classes   `json:"classes,omitempty"`
}

// Execute prints the state of the process. It returns an exitStatus error if
// the process cannot be queried or is not healthy.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	var r statusReport
	if err := c.fetch(ctx, &r); err != nil {
		writeError(c.stderr, fmt.Errorf("query %s: %w", c.Admin, err))
		return exitStatus(exitUsage)
	}
	if err := c.print(&r); err != nil {
		return err
	}
	if !r.healthy() {
		return exitStatus(exitFailed)
	}
	return nil
}

func (c *statusCommand) fetch(ctx context.Context, r *statusReport) error {
	if err := c.get(ctx, "/v1/status", &r.Status); err != nil {
		return err
	}
	if r.Status.Load == nil || r.Status.TableRevision == 0 {
		return nil
	}
	if err := c.get(ctx, "/v1/upstreams", &r.Upstreams); err != nil {
		return err
	}
	return c.get(ctx, "/v1/classes", &r.Classes)
}

func (c *statusCommand) get(ctx context.Context, path string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(c.Admin)+path, nil)
	if err != nil {
		return err
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+string(c.Token))
	}
	return fetchJSON(r, into)
}

// healthy reports whether nothing requires the attention of an operator.
func (r *statusReport) healthy() bool {
	if !r.Status.Ready || len(r.Status.Refused) > 0 {
		return false
	}
	if r.Upstreams == nil {
		return true
	}
	for _, u := range r.Upstreams.Upstreams {
		if !u.OfferedWork {
			return false
		}
	}
	return true
}

func (c *statusCommand) print(r *statusReport) error {
	if c.JSON {
		return writeJSON(c.stdout, r)
	}
	w := tabwriter.NewWriter(c.stdout, 0, 0, columnPadding, ' ', 0)
	printProcess(w, &r.Status)
	if r.Upstreams != nil {
		printUpstreams(w, r.Upstreams)
	}
	if r.Classes != nil {
		printClasses(w, r.Classes)
	}
	return w.Flush()
}

func printProcess(w io.Writer, s *admin.Status) {
	fmt.Fprintf(w, "%s %s\t%s\n", s.Program, s.VM, readinessText(s))
	fmt.Fprintf(w, "table\trevision %d, confirmed %s\n", s.TableRevision, ageText(s.TableAgeMillis))
	fmt.Fprintf(w, "VM list\tversion %d\n", s.VMListVersion)
	if s.Load != nil {
		fmt.Fprintf(w, "requests\t%d in flight, %d of them waiting\n", s.Load.InFlight, s.Load.Waiting)
	}
	if u := s.Upstream; u != nil {
		fmt.Fprintf(w, "upstream %s\t%s, %d of %d in flight, %d parked%s\n",
			u.Upstream, reasonText(u.Reason), u.InFlight, u.Limit, u.Parked, coldText(u.Cold))
	}
	for _, v := range s.Refused {
		fmt.Fprintf(w, "refused\t%s revision %d, revision %d stays in force\n", v.Section, v.Revision, v.InForceRevision)
		for _, f := range v.Faults {
			fmt.Fprintf(w, "\t%s\n", f)
		}
	}
}

func readinessText(s *admin.Status) string {
	switch {
	case s.Paused:
		return "was paused and has heard from nobody since"
	case s.Ready:
		return "ready"
	default:
		return "not ready: " + reasonText(s.Reason)
	}
}

func printUpstreams(w io.Writer, us *admin.Upstreams) {
	fmt.Fprintln(w, "\nUPSTREAM\tDATA CENTRE\tGETS WORK\tIN FLIGHT\tLIMIT\tPARKED\tLAST REPORT")
	for _, u := range us.Upstreams {
		work := "yes" + coldText(u.Cold)
		if !u.OfferedWork {
			work = "no: " + noWorkText(u)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n",
			u.Upstream, u.DataCentre, work, u.InFlight, u.Limit, u.Parked, ageText(u.ReportAgeMillis))
	}
	if us.OutsideSubset > 0 {
		fmt.Fprintf(w, "and %d that other gateways speak to\n", us.OutsideSubset)
	}
}

// noWorkText returns the reason why an upstream gets no work. It distinguishes a
// sidecar that cannot be reached from one that is missing from the VM list.
func noWorkText(u admin.UpstreamStatus) string {
	if u.VM == "" && u.Reason.Code == result.SidecarUnreached {
		return fmt.Sprintf("%d %s (the VM list has no sidecar before it)", u.Reason.Code, u.Reason.Name)
	}
	return reasonText(u.Reason)
}

func printClasses(w io.Writer, cs *admin.Classes) {
	fmt.Fprintln(w, "\nCLASS\tTIER\tMET\tOF\tFIRST TOKEN P50\tP95\tTARGET")
	for _, c := range cs.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\t%s\n", c.Class, c.Tier, c.Met, c.Total,
			quantileText(c.FirstTokenP50), quantileText(c.FirstTokenP95), millisText(c.FirstTokenTarget))
	}
}

func reasonText(r admin.Reason) string {
	if r.Code == result.OK {
		return "taking work"
	}
	return fmt.Sprintf("%d %s (%s)", r.Code, r.Name, r.Code.Info().Text)
}

func coldText(cold bool) string {
	if cold {
		return ", cold"
	}
	return ""
}

func ageText(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return millisText(ms) + " ago"
}

func millisText(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

// quantileText formats a quantile in milliseconds, or returns a dash if there are
// no measurements.
func quantileText(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return millisText(ms)
}
