package sitesettings

import (
	"cmp"
	"fmt"

	"oxbowbridge/admission"
)

// Admission converts the settings to those of a controller. The error names the
// first word that is not known, and wraps ErrUnknownWord; the ranges of numbers
// are checked by Validate and by admission.New.
func (s *Settings) Admission() (admission.Settings, error) {
	var words wordReader
	server, safety := &s.Server, &s.Safety
	converted := admission.Settings{
		MinInterval: s.MinInterval,
		TiersAbove:  s.Tier,
		Cores:       server.Cores,
		Servers:     cmp.Or(s.Servers, 1), // the endpoint list may not hold this server yet
		Callers:     server.Callers,

		WeightPerWork:     readWord(&words, weightUnits, "counted_by", s.WeightUnit),
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

		Dependency: readWord(&words, dependencies, "family_info.below", server.Dependency),
		CallQuota:  server.CallQuota,
		CallWindow: server.CallWindow,
		CallLinger: server.CallLinger,

		Preemption:        readWord(&words, preemptions, "family_info.halt", server.Preemption),
		AdvertKind:        readWord(&words, adverts, "family_info.advert", server.Advert),
		NotifiesCanceled:  server.NotifiesCanceled,
		DeepHealthChecks:  server.DeepHealthChecks,
		MaxIdleTimeout:    server.MaxIdleTimeout,
		AdvertTTL:         server.AdvertTTL,
		AnswerGracePeriod: safety.AnswerGracePeriod,
		DrainGracePeriod:  safety.DrainGracePeriod,
		RetriesMarked:     s.Clients.MarkRetries,
	}
	if s.Bounds.RetryAfter {
		converted.MaxRetryAfter = s.Bounds.MaxRetryAfter
	}
	for i := range s.Classes {
		converted.Classes = append(converted.Classes, s.admissionClass(i, &words))
	}
	for _, tenant := range s.Tenants {
		converted.Tenants = append(converted.Tenants, admission.Tenant{QuotaPerSecond: tenant.QuotaPerSecond})
	}
	return converted, words.err
}

// admissionClass converts a class. An objective beyond the deadline is allowed,
// and the same as one at it.
func (s *Settings) admissionClass(i int, words *wordReader) admission.Class {
	class := &s.Classes[i]
	converted := admission.Class{
		LatencyObjective:   min(class.LatencyObjective, class.Deadline),
		ObjectiveStretch:   class.ObjectiveStretch,
		Deadline:           class.Deadline,
		DedupWindow:        class.DedupWindow,
		ExecutionSemantics: readWord(words, effects, "classes.effect", class.Effect),
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

// wordReader keeps the error of the first word that is not known.
type wordReader struct{ err error }

func readWord[T any](r *wordReader, words map[string]T, key, word string) T {
	value, ok := words[word]
	if !ok && r.err == nil {
		r.err = fmt.Errorf("%s: %w: %q", key, ErrUnknownWord, word)
	}
	return value
}
