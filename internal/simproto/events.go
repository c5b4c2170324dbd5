package simproto

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"oxbowbridge/admission"
	"oxbowbridge/internal/sitesettings"
)

// event reads the event of a message; nil if the message is not known. The fields of an
// unknown message are not even split.
func (f *fields) event(message string) admission.Event {
	switch message {
	case messageArrival:
		f.parse()
		return f.arrival()
	case messageCompleted:
		f.parse()
		return admission.Completed{ID: f.requestID(), Elapsed: f.duration(fieldElapsed), Outcome: f.outcome()}
	case messageCanceled:
		f.parse()
		return admission.Canceled{ID: f.requestID()}
	case messageCallNeeded:
		f.parse()
		return admission.CallNeeded{ID: f.requestID()}
	case messageCallCompleted:
		f.parse()
		return admission.CallCompleted{ID: f.requestID(), Elapsed: f.duration(fieldElapsed), Outcome: f.outcome()}
	case messageDrain:
		f.parse()
		return admission.Drain{StopIn: f.duration(fieldTimeLeft)}
	case messageTimerFired:
		f.parse()
		return admission.TimerFired{TimerID: f.count(fieldTimerID, optional, math.MaxInt64), Gauges: f.gauges()}
	}
	return nil
}

func (f *fields) arrival() admission.Arrival {
	return admission.Arrival{
		ID:           f.requestID(),
		Class:        f.index(fieldClass),
		Tenant:       f.index(fieldTenant),
		Timeout:      f.duration(fieldTimeLeft),
		ExpectedWork: f.duration(fieldExpectedWork),
		Age:          f.duration(fieldAge),
		MemoryKB:     f.number(fieldMemoryKB),
		Rank:         f.number(fieldRank),
		HasLookupKey: f.text(fieldKey) != "",
		Retry:        f.flag(fieldRetry),
		DuplicateOf:  uint32(f.count(fieldDuplicateOf, optional, math.MaxUint32)),
	}
}

func (f *fields) outcome() admission.Outcome {
	word := f.text(fieldOutcome)
	outcome, ok := outcomes[word]
	switch {
	case word == "":
		f.fail(fieldOutcome, ErrMissing)
	case !ok:
		f.fail(fieldOutcome, ErrUnknownWord)
	}
	return outcome
}

// gauges reads name:value pairs set apart by commas.
func (f *fields) gauges() admission.Gauges {
	g := sitesettings.UnknownGauges()
	for rest := f.text(fieldGauges); rest != ""; {
		var pair string
		pair, rest, _ = strings.Cut(rest, ",")
		name, value, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !finite(x) {
			f.fail(fieldGauges, fmt.Errorf("%s: %w", name, ErrOutOfRange))
			return g
		}
		sitesettings.SetGauge(&g, name, x)
	}
	return g
}

// create reads the settings of an instance; nil on an error.
func (f *fields) create() *Create {
	f.parse()
	seed := f.count(fieldSeed, optional, math.MaxUint64)
	text := f.text(fieldSettings)
	if text == "" {
		f.fail(fieldSettings, ErrMissing)
		return nil
	}
	var settings sitesettings.Settings
	if err := sitesettings.DecodeJSON([]byte(text), &settings); err != nil {
		f.fail(fieldSettings, err)
		return nil
	}
	converted, err := settings.Admission()
	if err != nil {
		f.fail(fieldSettings, err)
		return nil
	}
	return &Create{Seed: seed, Settings: converted}
}
