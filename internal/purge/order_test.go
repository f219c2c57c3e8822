package purge

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParseIsStrict(t *testing.T) {
	good := `{"order":"purge","tenant":"acme","scope":"all","id":"7","tell":{"destination":9,"lane":"keyed"}}`
	o, err := Parse([]byte(good))
	require.NoError(t, err)
	assert.Equal(t, Order{Action: ActionPurge, Tenant: "acme", Scope: "all", ID: "7", NotifyTarget: NotifyTarget{9, "keyed"}}, o)
	for name, text := range map[string]string{
		"nothing":       ``,
		"after":         good + `{}`,
		"unknown field": `{"order":"purge","tenant":"acme","scope":"all","id":"7","tell":{"destination":9,"lane":"k"},"also":1}`,
		"twice":         `{"order":"purge","tenant":"acme","Tenant":"b","scope":"all","id":"7","tell":{"destination":9,"lane":"k"}}`,
		"twice within":  `{"order":"purge","tenant":"acme","scope":"all","id":"7","tell":{"destination":9,"destination":8,"lane":"k"}}`,
		"no lane":       `{"order":"purge","tenant":"acme","scope":"all","id":"7","tell":{"destination":9}}`,
		"no scope":      `{"order":"purge","tenant":"acme","id":"7","tell":{"destination":9,"lane":"k"}}`,
		"no tenant":     `{"order":"purge","scope":"all","id":"7","tell":{"destination":9,"lane":"k"}}`,
		"itself":        `{"order":"purge","tenant":"acme","scope":"all","id":"7","replaces":"7","tell":{"destination":9,"lane":"k"}}`,
		"list":          `[]`,
		"null":          `null`,
		"other act":     `{"order":"erase","tenant":"acme","id":"7"}`,
		"cancel scope":  `{"order":"cancel","tenant":"acme","scope":"all","id":"7"}`,
		"too long":      good + string(make([]byte, maxOrderBytes)),
	} {
		_, err := Parse([]byte(text))
		assert.Error(t, err, name)
	}
}
