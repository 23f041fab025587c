package fold

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/record"
)

// maxChunkBytes is the maximum size of the data in one chunk of a snapshot.
const maxChunkBytes = 64 << 10

// Image returns the serializable form of the state. Snapshots contain it, and nodes send it to
// their peers.
func (st State) Image() record.Image {
	im := record.Image{Revision: st.revision, Next: st.next, LogTime: st.logTime, Outcomes: slices.Clone(st.outcomes)}
	for _, su := range st.subtrees {
		im.Subtrees = append(im.Subtrees, su)
	}
	slices.SortFunc(im.Subtrees, func(aa, bb record.Subtree) int { return strings.Compare(aa.Path, bb.Path) })
	return im
}

// FromImage returns the state that an image describes. It fails if the settings in the image
// are not valid.
func FromImage(im record.Image) (State, error) {
	st := State{
		subtrees: make(map[string]record.Subtree, len(im.Subtrees)),
		outcomes: slices.Clone(im.Outcomes),
		revision: im.Revision, next: im.Next, logTime: im.LogTime,
	}
	for _, su := range im.Subtrees {
		st.subtrees[su.Path] = su
		if len(su.Body) == 0 {
			continue
		}
		var err error
		if st.tree, err = withSubtree(st.tree, su.Path, su.Body); err != nil {
			return State{}, errors.Wrap(err, "fold: read image")
		}
	}
	if fi := st.tree.Check(); fi != nil {
		return State{}, errors.Wrap(fi, "fold: check image")
	}
	return st, nil
}

// Chunks splits a snapshot of the state into records for the log. The name identifies the
// snapshot.
func (st State) Chunks(name string) ([]record.Chunk, error) {
	im := st.Image()
	data, err := record.Encode(&record.Envelope{Image: &im})
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	count := (len(data) + maxChunkBytes - 1) / maxChunkBytes
	list := make([]record.Chunk, 0, count)
	for ix := range count {
		part := data[ix*maxChunkBytes : min((ix+1)*maxChunkBytes, len(data))]
		list = append(list, record.Chunk{
			Snapshot: name, Offset: st.next, Index: ix, Count: count,
			Hash: hex.EncodeToString(sum[:]), Data: part,
		})
	}
	return list, nil
}

// Assembler puts snapshots together from chunks. Chunks of several snapshots may be
// interleaved, and chunks may be duplicated or missing. The chunks of a snapshot are kept until
// it is complete.
type Assembler struct {
	// parts holds the data of the chunks by snapshot name and hash, then by chunk index.
	parts map[string]map[int][]byte
}

// AddChunk adds one chunk. It returns the state and true if the chunk completes a snapshot
// and the snapshot is valid.
func (as *Assembler) AddChunk(ch *record.Chunk) (State, bool) {
	if as.parts == nil {
		as.parts = map[string]map[int][]byte{}
	}
	if ch.Count < 1 || ch.Index < 0 || ch.Index >= ch.Count {
		return State{}, false
	}
	key := ch.Snapshot + "/" + ch.Hash
	if as.parts[key] == nil {
		as.parts[key] = map[int][]byte{}
	}
	as.parts[key][ch.Index] = ch.Data
	if len(as.parts[key]) < ch.Count {
		return State{}, false
	}
	data := make([]byte, 0, ch.Count*maxChunkBytes)
	for ix := range ch.Count {
		data = append(data, as.parts[key][ix]...)
	}
	delete(as.parts, key)
	return decodeSnapshot(data, ch)
}

// decodeSnapshot returns the state in the data of a snapshot. It returns false if the hash or
// the offset differs from that of the chunk ch, or if the data is not a valid image.
func decodeSnapshot(data []byte, ch *record.Chunk) (State, bool) {
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != ch.Hash {
		return State{}, false
	}
	env, err := record.Decode(data)
	if err != nil || env.Image == nil || env.Image.Next != ch.Offset {
		return State{}, false
	}
	st, err := FromImage(*env.Image)
	return st, err == nil
}
