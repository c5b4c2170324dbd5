package raftstorage

import (
	"encoding/hex"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/faultfs"
)

// TestGoldenKeys checks that all kinds of stored keys and values have the same bytes as in released
// versions.
func TestGoldenKeys(t *testing.T) {
	storage, _, err := OpenFS(&faultfs.FS{})
	require.NoError(t, err)
	conf := raft.Configuration{Servers: []raft.Server{{Suffrage: raft.Nonvoter, ID: "n1@5f", Address: "n1@5f|r|a|z"}}}
	require.NoError(t, storage.StoreLogs([]*raft.Log{
		{Index: 5, Term: 1, Type: raft.LogCommand, Data: []byte("five"), Extensions: []byte{1, 2}, AppendedAt: time.Unix(5, 7)},
		{Index: 6, Term: 300, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(conf)},
		{Index: 7, Term: 300, Type: raft.LogNoop},
	}))
	require.NoError(t, storage.SetUint64([]byte("CurrentTerm"), 300))
	require.NoError(t, storage.Set([]byte("LastVoteCand"), []byte("n1@5f")))
	require.NoError(t, storage.PutLocal("disk", []byte("5f")))
	require.NoError(t, storage.PutLocalUnsynced("seen", []byte("{}")))
	sink, err := storage.Create(raft.SnapshotVersionMax, 6, 300, conf, 6, nil)
	require.NoError(t, err)
	_, err = sink.Write([]byte("the state"))
	require.NoError(t, err)
	require.NoError(t, sink.Close())
	id := sink.ID()
	require.Regexp(t, `^00000000000000000300-00000000000000000006-\d+-1$`, id)
	watermark, err := storage.Watermark()
	require.NoError(t, err)
	assert.Equal(t, diskidentity.Watermark{Term: 300, LastTerm: 300, LastIndex: 7}, watermark)

	items := map[string]string{}
	view, err := storage.store.Snapshot()
	require.NoError(t, err)
	defer view.Close()
	require.NoError(t, view.Scan(nil, nil, 0, func(i durable.Item) bool {
		value, err := i.Value()
		require.NoError(t, err)
		text := string(value)
		if strings.HasPrefix(i.Key, "l/") {
			text = hex.EncodeToString(value)
		}
		items[strings.ReplaceAll(i.Key, id, "ID")] = strings.ReplaceAll(text, id, "ID")
		return true
	}))
	assert.Equal(t, map[string]string{
		"c/CurrentTerm":                      "\x00\x00\x00\x00\x00\x00\x01\x2c",
		"c/LastVoteCand":                     "n1@5f",
		"k/disk":                             "5f",
		"k/seen":                             "{}",
		"l/\x00\x00\x00\x00\x00\x00\x00\x05": "0100018ec8afa02502010266697665",
		"l/\x00\x00\x00\x00\x00\x00\x00\x06": "0105ac02000081a7536572766572739183a741646472657373ab6e314035667c727c617c7aa24944a56e31403566a8537566667261676501",
		"l/\x00\x00\x00\x00\x00\x00\x00\x07": "0101ac020000",
		"m/ID": `{"Version":1,"ID":"ID","Index":6,"Term":300,"Peers":null,` +
			`"Configuration":{"Servers":[{"Suffrage":1,"ID":"n1@5f","Address":"n1@5f|r|a|z"}]},"ConfigurationIndex":6,"Size":9}`,
		"s/ID/\x00\x00\x00\x00\x00\x00\x00\x00": "the state",
	}, items)
}
