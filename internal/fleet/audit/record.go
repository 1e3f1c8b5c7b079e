package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Record is what one process did while it acted on one combination of versions. Counts are those of the span.
type Record struct {
	Seq             uint64             `json:"seq"`  // from 1 on in each process
	Prev            string             `json:"prev"` // hash of the record before; empty in the first
	Gateway         string             `json:"gateway"`
	Session         string             `json:"session"` // of the process
	From            Timestamp          `json:"from"`
	To              Timestamp          `json:"to"`
	ListVersion     int64              `json:"list"`  // the list of databases, discovery's seq
	OverridesDigest string             `json:"words"` // digest of operators' words
	ViewDigest      string             `json:"view"`  // digest of the stable view
	ConfigDigest    string             `json:"config"`
	FleetFileDigest string             `json:"file"` // digest of the fleet file
	Build           string             `json:"build"`
	Databases       []DatabaseActivity `json:"acts,omitempty"`    // by database, in the order of their first use
	Dropped         uint64             `json:"dropped,omitempty"` // acts at databases for which there was no room
	Lost            uint64             `json:"lost,omitempty"`    // records before this one that were never written to the file
}

// DatabaseActivity are what was done to one database in a span.
type DatabaseActivity struct {
	Database       string    `json:"database"`
	Group          int       `json:"group"`
	Sent           uint64    `json:"sent,omitempty"`     // attempts
	FirstSent      Timestamp `json:"first,omitempty"`    // of them
	LastSent       Timestamp `json:"last,omitempty"`     //
	Writes         uint64    `json:"accepted,omitempty"` // writes that it took as primary
	FirstWrite     Timestamp `json:"since,omitempty"`    // the first of them
	LastWrite      Timestamp `json:"until,omitempty"`    // the last
	DrainingSince  Timestamp `json:"drained,omitempty"`  // when the list was heard to say that it drains; 0: it does not
	SuspendedSince Timestamp `json:"out,omitempty"`      // when operators' word to leave it out was taken; 0: there is none
	BreakerOpened  uint64    `json:"opened,omitempty"`   // breakers on it
}

// sealed is a record as it is written: the hash is over its bytes as they stand, so that fields of later versions are
// under it as well.
type sealed struct {
	Hash   string          `json:"hash"`
	Record json.RawMessage `json:"record"`
}

func hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:16])
}

// seal is the line of a record, without its end, and its hash.
func seal(r Record) (line []byte, h string) {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // a record holds nothing that could fail
	}
	h = hash(text)
	line, err = json.Marshal(sealed{Hash: h, Record: text})
	if err != nil {
		panic(err)
	}
	return line, h
}

// ChainedRecord is a record that was read, with its hash.
type ChainedRecord struct {
	Record
	Hash string
}

// ParseRecord reads a line and checks it against its hash.
func ParseRecord(line []byte) (ChainedRecord, error) {
	var s sealed
	if err := json.Unmarshal(line, &s); err != nil {
		return ChainedRecord{}, fmt.Errorf("no record: %w", err)
	}
	out := ChainedRecord{Hash: s.Hash}
	var plain bytes.Buffer
	if err := json.Compact(&plain, s.Record); err != nil || hash(plain.Bytes()) != s.Hash {
		return out, fmt.Errorf("a record does not fit its hash %.8s: it was changed", s.Hash)
	}
	if err := json.Unmarshal(s.Record, &out.Record); err != nil {
		return out, fmt.Errorf("no record: %w", err)
	}
	if out.Seq == 0 || out.Gateway == "" || out.To < out.From {
		return out, fmt.Errorf("a record of %q with number %d, from %v to %v, makes no sense", out.Gateway, out.Seq, out.From, out.To)
	}
	return out, nil
}
