package simproto

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"oxbowbridge/admission"
	"oxbowbridge/internal/sitesettings"
)

// parseEvent parses the event of a message. It returns nil if the message is unknown; the fields of an
// unknown message are not parsed.
func (f *fields) parseEvent(message string) admission.Event {
	switch message {
	case messageArrival:
		f.parse()
		return f.parseArrival()
	case messageCompleted:
		f.parse()
		return admission.Completed{ID: f.requestIDField(), Elapsed: f.durationField(fieldElapsed), Outcome: f.parseOutcome()}
	case messageCanceled:
		f.parse()
		return admission.Canceled{ID: f.requestIDField()}
	case messageCallNeeded:
		f.parse()
		return admission.CallNeeded{ID: f.requestIDField()}
	case messageCallCompleted:
		f.parse()
		return admission.CallCompleted{ID: f.requestIDField(), Elapsed: f.durationField(fieldElapsed), Outcome: f.parseOutcome()}
	case messageDrain:
		f.parse()
		return admission.Drain{StopIn: f.durationField(fieldTimeLeft)}
	case messageTimerFired:
		f.parse()
		return admission.TimerFired{TimerID: f.uintField(fieldTimerID, optional, math.MaxInt64), Gauges: f.parseGauges()}
	}
	return nil
}

func (f *fields) parseArrival() admission.Arrival {
	return admission.Arrival{
		ID:           f.requestIDField(),
		Class:        f.indexField(fieldClass),
		Tenant:       f.indexField(fieldTenant),
		Timeout:      f.durationField(fieldTimeLeft),
		ExpectedWork: f.durationField(fieldExpectedWork),
		Age:          f.durationField(fieldAge),
		MemoryKB:     f.floatField(fieldMemoryKB),
		Rank:         f.floatField(fieldRank),
		HasLookupKey: f.textField(fieldLookupKey) != "",
		Retry:        f.boolField(fieldRetry),
		DuplicateOf:  uint32(f.uintField(fieldDuplicateOf, optional, math.MaxUint32)),
	}
}

func (f *fields) parseOutcome() admission.Outcome {
	name := f.textField(fieldOutcome)
	outcome, ok := outcomeByName[name]
	switch {
	case name == "":
		f.recordError(fieldOutcome, ErrMissing)
	case !ok:
		f.recordError(fieldOutcome, ErrUnknownValue)
	}
	return outcome
}

// parseGauges parses comma-separated name:value pairs.
func (f *fields) parseGauges() admission.Gauges {
	g := sitesettings.UnknownGauges()
	for rest := f.textField(fieldGauges); rest != ""; {
		var pair string
		pair, rest, _ = strings.Cut(rest, ",")
		name, value, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !isFinite(x) {
			f.recordError(fieldGauges, fmt.Errorf("%s: %w", name, ErrOutOfRange))
			return g
		}
		sitesettings.SetGauge(&g, name, x)
	}
	return g
}

// parseCreate parses the fields of a CREATE message. It returns nil on an error.
func (f *fields) parseCreate() *Create {
	f.parse()
	seed := f.uintField(fieldSeed, optional, math.MaxUint64)
	text := f.textField(fieldSettings)
	if text == "" {
		f.recordError(fieldSettings, ErrMissing)
		return nil
	}
	var settings sitesettings.Settings
	if err := sitesettings.DecodeJSON([]byte(text), &settings); err != nil {
		f.recordError(fieldSettings, err)
		return nil
	}
	converted, err := settings.AdmissionSettings()
	if err != nil {
		f.recordError(fieldSettings, err)
		return nil
	}
	return &Create{Seed: seed, Settings: converted}
}
