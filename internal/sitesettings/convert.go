package sitesettings

import (
	"cmp"
	"fmt"

	"oxbowbridge/admission"
)

// AdmissionSettings converts the settings to those of an admission controller. The error wraps
// ErrUnknownValue and names the first setting with an unknown enum value. Validate and
// admission.New check the ranges of numbers.
func (s *Settings) AdmissionSettings() (admission.Settings, error) {
	var enums enumParser
	server, safety := &s.Server, &s.Safety
	converted := admission.Settings{
		MinInterval: s.MinInterval,
		TiersAbove:  s.Tier,
		Cores:       server.Cores,
		Servers:     cmp.Or(s.Servers, 1), // the endpoint list may not contain this server yet
		Callers:     server.Callers,

		WeightPerWork:     parseEnum(&enums, weightPerWorkByUnit, "counted_by", s.WeightUnit),
		OverQuotaFraction: s.OverQuotaFraction,

		SlowStart:         server.SlowStart,
		SlowStartMinSpeed: safety.SlowStartMinSpeed,
		SlowStartDuration: safety.SlowStartDuration,
		MaxRunsPerCore:    safety.MaxRunsPerCore,
		OverloadWindow:    safety.OverloadWindow,

		MemoryKB:          server.MemoryKB,
		RunMemoryFactor:   server.RunMemoryFactor,
		KeyMemoryKB:       server.KeyMemoryKB,
		ResultReuseWindow: server.ResultReuseWindow,

		Dependency: parseEnum(&enums, dependenciesByName, "family_info.below", server.Dependency),
		CallQuota:  server.CallQuota,
		CallWindow: server.CallWindow,
		CallLinger: server.CallLinger,

		Preemption:        parseEnum(&enums, preemptionsByName, "family_info.halt", server.Preemption),
		AdvertKind:        parseEnum(&enums, advertKindsByName, "family_info.advert", server.Advert),
		NotifiesCanceled:  server.NotifiesCanceled,
		DeepHealthChecks:  server.DeepHealthChecks,
		MaxIdleTimeout:    server.MaxIdleTimeout,
		AdvertTTL:         server.AdvertTTL,
		AnswerGracePeriod: safety.AnswerGracePeriod,
		DrainGracePeriod:  safety.DrainGracePeriod,
		RetriesMarked:     s.Clients.RetriesMarked,
	}
	if s.Bounds.SendRetryAfter {
		converted.MaxRetryAfter = s.Bounds.MaxRetryAfter
	}
	for i := range s.Classes {
		converted.Classes = append(converted.Classes, s.admissionClass(i, &enums))
	}
	for _, tenant := range s.Tenants {
		converted.Tenants = append(converted.Tenants, admission.Tenant{QuotaPerSecond: tenant.QuotaPerSecond})
	}
	return converted, enums.err
}

// admissionClass converts the class with index i. A latency objective beyond the deadline is
// allowed and reduced to the deadline.
func (s *Settings) admissionClass(i int, enums *enumParser) admission.Class {
	class := &s.Classes[i]
	converted := admission.Class{
		LatencyObjective:   min(class.LatencyObjective, class.Deadline),
		ObjectiveStretch:   class.ObjectiveStretch,
		Deadline:           class.Deadline,
		DedupWindow:        class.DedupWindow,
		ExecutionSemantics: parseEnum(enums, executionSemanticsByName, "classes.effect", class.ExecutionSemantics),
		PriorityWeight:     class.PriorityWeight,
		LateFraction:       class.LateFraction,
	}
	if i < len(s.Server.ClassMakesCalls) {
		converted.MakesCalls = s.Server.ClassMakesCalls[i]
	}
	if i < len(s.Server.ClassDegradedFraction) {
		converted.DegradedFraction = s.Server.ClassDegradedFraction[i]
	}
	return converted
}

// enumParser converts enum values and keeps the error of the first unknown one.
type enumParser struct{ err error }

// parseEnum returns the value with the given name. If the name is unknown, it records an error that
// names the setting.
func parseEnum[T any](parser *enumParser, valuesByName map[string]T, key, name string) T {
	value, ok := valuesByName[name]
	if !ok && parser.err == nil {
		parser.err = fmt.Errorf("%s: %w: %q", key, ErrUnknownValue, name)
	}
	return value
}
