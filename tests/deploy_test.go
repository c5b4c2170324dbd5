package tests

import (
	"debug/elf"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDeployedForm: what the deploy file builds asks for a dynamic loader and the C
// library, so that a library can be loaded into the process, and `run` becomes it.
func TestDeployedForm(t *testing.T) {
	file, err := elf.Open(program)
	require.NoError(t, err)
	defer file.Close()
	assert.True(t, slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }), "no dynamic interpreter")
	libs, err := file.ImportedLibraries()
	require.NoError(t, err)
	assert.Contains(t, libs, "libc.so.6")
	assert.Equal(t, "exec bin/oxbowbridge", deployed("run"))
}
