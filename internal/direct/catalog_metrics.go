package direct

import (
	"fmt"
	"time"

	"jasminewing.dev/jasminewing/internal/catalog"
	"jasminewing.dev/jasminewing/internal/route"
)

// updateCatalog sets the metrics of what is known of the store. The age of a section is not there
// before it is known.
func (m *metricSet) updateCatalog(v *route.View, s catalog.Stats) {
	version := 0.0
	if v.Table != nil {
		version = float64(v.Table.Version)
	}
	m.setGauge("jasminewing_direct_table_version", version)
	m.setGauge("jasminewing_direct_store_era", float64(s.Era))
	m.setCounter("jasminewing_direct_store_restores_total", s.Restores)
	for id, section := range s.Sections {
		name := catalog.Section(id)
		m.setGauge(fmt.Sprintf("jasminewing_direct_state_revision{section=%q}", name), float64(section.Position.Revision))
		if !section.ConfirmedAt.IsZero() {
			m.setGauge(fmt.Sprintf("jasminewing_direct_state_age_seconds{section=%q}", name), time.Since(section.ConfirmedAt).Seconds())
		}
		m.setCounter(fmt.Sprintf("jasminewing_direct_store_calls_total{section=%q,kind=\"range\"}", name), section.Ranges)
		m.setCounter(fmt.Sprintf("jasminewing_direct_store_calls_total{section=%q,kind=\"watch\"}", name), section.Watches)
		m.updateSource(name, "store", section.Source == catalog.SourceStore, section.IgnoredStore)
		m.updateSource(name, "gateway", section.Source.FromGateway(), section.IgnoredGateway)
	}
}

// updateSource sets the metrics of a section and one kind of source.
func (m *metricSet) updateSource(s catalog.Section, source string, present bool, ignored uint64) {
	value := 0.0
	if present {
		value = 1
	}
	m.setGauge(fmt.Sprintf("jasminewing_direct_state_source{section=%q,source=%q}", s, source), value)
	m.setCounter(fmt.Sprintf("jasminewing_direct_states_ignored_total{section=%q,source=%q}", s, source), ignored)
}

func (m *metricSet) setGauge(name string, v float64) { m.set.GetOrCreateGauge(name, nil).Set(v) }

func (m *metricSet) setCounter(name string, v uint64) { m.set.GetOrCreateCounter(name).Set(v) }
