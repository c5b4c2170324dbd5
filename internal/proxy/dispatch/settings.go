package dispatch

import (
	"errors"
	"fmt"
	"strings"

	"oxbowbridge/admission"
	"oxbowbridge/internal/sitesettings"
)

var (
	errMissingName   = errors.New("missing")
	errInvalidName   = errors.New("contains a space or control character")
	errDuplicateName = errors.New("is used by another class")
)

// ControllerSettings converts a site's settings to the controller's settings. An error names the
// setting that is invalid or unsupported. Two features of the controller are disabled, because the
// wire protocols have no fields for them: the reuse of read results, and degraded runs that skip their
// calls.
func ControllerSettings(site *sitesettings.Settings) (admission.Settings, error) {
	settings, err := site.AdmissionSettings()
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

// checkClassName checks that a class name can be used in URL paths and in space-separated protocol
// lines, and that no other class has it.
func checkClassName(name string, usedNames map[string]bool) error {
	isSeparator := func(c rune) bool { return c <= ' ' || c == 0x7f }
	switch {
	case name == "":
		return errMissingName
	case strings.ContainsFunc(name, isSeparator):
		return fmt.Errorf("%q %w", name, errInvalidName)
	case usedNames[name]:
		return fmt.Errorf("%q %w", name, errDuplicateName)
	}
	return nil
}
