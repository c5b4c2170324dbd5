package sitesettings

import "oxbowbridge/admission"

// Words of the settings; an absent word is "".

var effects = map[string]admission.ExecutionSemantics{
	"idempotent":   admission.Idempotent,
	"deduplicated": admission.Deduplicated,
	"at_most_once": admission.AtMostOnce,
}

var preemptions = map[string]admission.Preemption{
	"":      admission.PreemptionNone,
	"none":  admission.PreemptionNone,
	"drop":  admission.PreemptionDrop,
	"pause": admission.PreemptionPause,
}

var adverts = map[string]admission.AdvertKind{
	"":       admission.AdvertNone,
	"none":   admission.AdvertNone,
	"level":  admission.AdvertMinRank,
	"credit": admission.AdvertCredit,
	"weight": admission.AdvertWeight,
}

var dependencies = map[string]admission.Dependency{
	"":       admission.DependencyNone,
	"none":   admission.DependencyNone,
	"shared": admission.DependencyShared,
	"tier":   admission.DependencyNextTier,
}

// weightUnits are the units that weights count by; true stands for a unit of work.
var weightUnits = map[string]bool{
	"":        false,
	"request": false,
	"work":    true,
}

// UnknownGauges are the gauges of which none is known.
func UnknownGauges() admission.Gauges {
	return admission.Gauges{
		CPUUtilization:    admission.UnknownGauge,
		RunQueue:          admission.UnknownGauge,
		MemoryUtilization: admission.UnknownGauge,
		Connections:       admission.UnknownGauge,
	}
}

// SetGauge sets a gauge by its name in own_stats, and skips one that is not known.
func SetGauge(g *admission.Gauges, name string, value float64) {
	switch name {
	case "core_use":
		g.CPUUtilization = value
	case "on_cores":
		g.RunQueue = value
	case "heap_share":
		g.MemoryUtilization = value
	case "links":
		g.Connections = value
	}
}
