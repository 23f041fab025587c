package launch

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/google/uuid"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/proc"
	"github.com/bambooladder/bambooladder/ctl/internal/change"
)

const (
	// tokenBytes is the number of random bytes in a token.
	tokenBytes = 24
	// columnGap is the number of spaces between the columns of a table.
	columnGap = 2
	percent   = 100

	// Kinds of outcomes of a change.
	kindAccepted = "accepted"
	kindConflict = "conflict"
)

// readTree reads and checks the settings tree in the file.
func (co *command) readTree() (conf.Tree, error) {
	data, ok := proc.ReadSettings(co.treeFile, co.stderr)
	if !ok {
		return conf.Tree{}, &conf.FileError{File: co.treeFile, Line: 1, Column: 1, Detail: "the file cannot be read", Remedy: "name a readable file"}
	}
	return conf.ParseTree(co.treeFile, data)
}

// edits returns the edits that turn the accepted settings into those of the file, and the
// accepted settings.
func (co *command) edits(ctx context.Context) ([]admin.Edit, admin.Settings, error) {
	tr, err := co.readTree()
	if err != nil {
		return nil, admin.Settings{}, err
	}
	current, err := co.client.Settings(ctx)
	if err != nil {
		return nil, current, err
	}
	edits, err := change.Edits(tr, current, co.prune)
	return edits, current, err
}

// apply changes the settings to those of the file and prints the outcome.
func (co *command) apply(ctx context.Context) error {
	edits, _, err := co.edits(ctx)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		_, _ = fmt.Fprintln(co.stdout, "nothing to change")
		return nil
	}
	oc, err := co.client.Propose(ctx, admin.Change{ID: uuid.Must(uuid.NewV7()).String(), Edits: edits})
	if err != nil {
		return err
	}
	switch oc.Kind {
	case kindAccepted:
		_, _ = fmt.Fprintf(co.stdout, "accepted revision=%d change=%s paths=%s\n", oc.Revision, oc.Change, strings.Join(oc.Paths, ","))
		return nil
	case kindConflict:
		return fault.New(fault.Conflict, oc.Detail, "run ctl diff and apply again")
	}
	return fault.New(fault.Invalid, oc.Detail, "correct the file and apply again")
}

// diff prints the accepted and the new body of each subtree that apply would change.
func (co *command) diff(ctx context.Context) error {
	edits, current, err := co.edits(ctx)
	if err != nil {
		return err
	}
	accepted := map[string]json.RawMessage{}
	for _, su := range current.Subtrees {
		accepted[su.Path] = su.Body
	}
	for _, ed := range edits {
		_, _ = fmt.Fprintf(co.stdout, "%s (based on revision %d)\n", ed.Path, ed.Base)
		if body, ok := accepted[ed.Path]; ok {
			_, _ = fmt.Fprintf(co.stdout, "- %s\n", body)
		}
		if !ed.Remove {
			_, _ = fmt.Fprintf(co.stdout, "+ %s\n", ed.Body)
		}
	}
	return nil
}

// check checks the file without calling the API.
func (co *command) check() error {
	if _, err := co.readTree(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(co.stdout, "%s: the settings are valid\n", co.treeFile)
	return nil
}

// get prints the accepted settings, or one subtree of them, as YAML.
func (co *command) get(ctx context.Context) error {
	current, err := co.client.Settings(ctx)
	if err != nil {
		return err
	}
	found := false
	for _, su := range current.Subtrees {
		if co.subtreePath != "" && su.Path != co.subtreePath {
			continue
		}
		found = true
		text, err := yaml.JSONToYAML(su.Body)
		if err != nil {
			return errors.Wrapf(err, "launch: render %s", su.Path)
		}
		_, _ = fmt.Fprintf(co.stdout, "# %s revision=%d author=%s\n%s", su.Path, su.Revision, su.Author, text)
	}
	if !found && co.subtreePath != "" {
		return fault.New(fault.NotFound, "subtree "+co.subtreePath+" does not exist", "run ctl get for all of them")
	}
	return nil
}

// history prints the outcomes of recent changes as a table.
func (co *command) history(ctx context.Context) error {
	hi, err := co.client.History(ctx)
	if err != nil {
		return err
	}
	tw := tabwriter.NewWriter(co.stdout, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(tw, "REVISION\tTIME\tAUTHOR\tOUTCOME\tPATHS\tDETAIL")
	for _, oc := range hi.Outcomes {
		timestamp := time.UnixMilli(oc.Time).UTC().Format(time.RFC3339)
		_, _ = fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%s\t%s\n", oc.Revision, timestamp, oc.Author, oc.Kind, strings.Join(oc.Paths, ","), oc.Detail)
	}
	return errors.Wrap(tw.Flush(), "launch: print history")
}

// status prints the newest settings revision that an entry node reported, on how many entry nodes it
// is in force, and the state of the entry nodes and their backend servers.
func (co *command) status(ctx context.Context) error {
	st, err := co.client.Status(ctx)
	if err != nil {
		return err
	}
	inForce := 0
	for _, no := range st.Nodes {
		if no.Reachable && no.Revision == st.Revision {
			inForce++
		}
	}
	_, _ = fmt.Fprintf(co.stdout, "revision %d is in force on %d of %d entry nodes\n", st.Revision, inForce, len(st.Nodes))
	tw := tabwriter.NewWriter(co.stdout, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(tw, "ENTRY\tREACHABLE\tREADY\tREVISION\tRUNNER\tLEAVING\tLOAD\tSTALLS\tBATCH\tADAPTERS")
	for _, no := range st.Nodes {
		_, _ = fmt.Fprintf(tw, "%s\t%t\t%t\t%d\t\t\t\t\t\t\n", no.Name, no.Reachable, no.Ready, no.Revision)
		for _, ru := range no.Runners {
			_, _ = fmt.Fprintf(tw, "\t\t\t\t%s\t%t\t%d/%d\t%s\t%s\t%s\n", ru.Name, ru.Leaving, ru.Load, ru.Places,
				time.Duration(ru.LoadStallMs)*time.Millisecond, formatPercent(ru.BatchFilledMs, ru.BatchOfferedMs), strings.Join(ru.Adapters, ","))
		}
	}
	return errors.Wrap(tw.Flush(), "launch: print status")
}

// formatPercent formats a part of a whole in percent, or as "-" if the whole is zero.
func formatPercent(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", part*percent/whole)
}

// makeToken prints a new random token, and its hash, which is what the settings store.
func (co *command) makeToken() error {
	raw := make([]byte, tokenBytes)
	_, _ = rand.Read(raw)
	token := hex.EncodeToString(raw)
	hash := sha256.Sum256([]byte(token))
	_, err := fmt.Fprintf(co.stdout, "token=%s sha256=%s\n", token, hex.EncodeToString(hash[:]))
	return errors.Wrap(err, "launch: print token")
}
