package sitesettings

import "oxbowbridge/admission"

// Enum values of the settings, by their JSON strings. "" stands for an absent setting.

var executionSemanticsByName = map[string]admission.ExecutionSemantics{
	"idempotent":   admission.Idempotent,
	"deduplicated": admission.Deduplicated,
	"at_most_once": admission.AtMostOnce,
}

var preemptionsByName = map[string]admission.Preemption{
	"":      admission.PreemptionNone,
	"none":  admission.PreemptionNone,
	"drop":  admission.PreemptionDrop,
	"pause": admission.PreemptionPause,
}

var advertKindsByName = map[string]admission.AdvertKind{
	"":       admission.AdvertNone,
	"none":   admission.AdvertNone,
	"level":  admission.AdvertMinRank,
	"credit": admission.AdvertCredit,
	"weight": admission.AdvertWeight,
}

var dependenciesByName = map[string]admission.Dependency{
	"":       admission.DependencyNone,
	"none":   admission.DependencyNone,
	"shared": admission.DependencyShared,
	"tier":   admission.DependencyNextTier,
}

// weightPerWorkByUnit maps the unit of weights to whether a weight is per unit of work instead of
// per request.
var weightPerWorkByUnit = map[string]bool{
	"":        false,
	"request": false,
	"work":    true,
}

// UnknownGauges returns gauges without any known value.
func UnknownGauges() admission.Gauges {
	return admission.Gauges{
		CPUUtilization:    admission.UnknownGauge,
		RunQueue:          admission.UnknownGauge,
		MemoryUtilization: admission.UnknownGauge,
		Connections:       admission.UnknownGauge,
	}
}

// SetGauge sets a gauge by its name in the setting own_stats. It ignores an unknown name.
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
