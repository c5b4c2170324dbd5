package dispatch

import (
	"errors"
	"fmt"
	"strings"

	"oxbowbridge/admission"
	"oxbowbridge/internal/sitesettings"
)

var (
	errNameMissing = errors.New("missing")
	errNameInvalid = errors.New("is not a word")
	errNameTwice   = errors.New("is there twice")
)

// ControllerSettings returns the controller's settings at a site, or an error that names the
// field which can't be served. What the protocols have no field for stays unused: results of reads are
// not shared, and calls are not skipped.
func ControllerSettings(site *sitesettings.Settings) (admission.Settings, error) {
	settings, err := site.Admission()
	if err != nil {
		return settings, err
	}
	if err := site.Validate(); err != nil {
		return settings, err
	}
	names := map[string]bool{}
	for i := range settings.Classes {
		name := site.Classes[i].Name
		if err := checkClassName(name, names); err != nil {
			return settings, fmt.Errorf("classes.%d.name: %w", i, err)
		}
		names[name] = true
		settings.Classes[i].DegradedFraction = 0
	}
	settings.ResultReuseWindow = 0
	_, err = admission.New(settings, 0)
	return settings, err
}

// checkClassName checks a name that stands in paths and in lines of words.
func checkClassName(name string, taken map[string]bool) error {
	notInWords := func(c rune) bool { return c <= ' ' || c == 0x7f }
	switch {
	case name == "":
		return errNameMissing
	case strings.ContainsFunc(name, notInWords):
		return fmt.Errorf("%q %w", name, errNameInvalid)
	case taken[name]:
		return fmt.Errorf("%q %w", name, errNameTwice)
	}
	return nil
}
