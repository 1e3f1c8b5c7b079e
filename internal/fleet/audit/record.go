package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Record is what one process did in a span, that is while it acted on one combination of versions.
type Record struct {
	Seq             uint64             `json:"seq"`  // from 1 in each process
	Prev            string             `json:"prev"` // hash of the previous record; empty in the first
	Gateway         string             `json:"gateway"`
	Session         string             `json:"session"` // of the process
	From            Timestamp          `json:"from"`
	To              Timestamp          `json:"to"`
	ListVersion     int64              `json:"list"`  // of the list of databases, discovery's seq
	OverridesDigest string             `json:"words"` // of the operator overrides
	ViewDigest      string             `json:"view"`  // of the stable view
	ConfigDigest    string             `json:"config"`
	FleetFileDigest string             `json:"file"`
	Build           string             `json:"build"`
	Databases       []DatabaseActivity `json:"acts,omitempty"`    // in the order of their first use
	Dropped         uint64             `json:"dropped,omitempty"` // activities that exceeded the maximum number of databases
	Lost            uint64             `json:"lost,omitempty"`    // earlier records that were never written to the file
}

// DatabaseActivity is what was done to one database in a span.
type DatabaseActivity struct {
	Database       string    `json:"database"`
	Group          int       `json:"group"`
	Sent           uint64    `json:"sent,omitempty"`     // attempts
	FirstSent      Timestamp `json:"first,omitempty"`    // time of the first attempt
	LastSent       Timestamp `json:"last,omitempty"`     // time of the last attempt
	Writes         uint64    `json:"accepted,omitempty"` // writes that it accepted as primary
	FirstWrite     Timestamp `json:"since,omitempty"`    // time of the first write
	LastWrite      Timestamp `json:"until,omitempty"`    // time of the last write
	DrainingSince  Timestamp `json:"drained,omitempty"`  // when the list was received that says it drains; 0: it does not
	SuspendedSince Timestamp `json:"out,omitempty"`      // when the operator override that suspends it was applied; 0: there is none
	BreakerOpened  uint64    `json:"opened,omitempty"`   // how often its breaker opened
}

// recordLine is a record as it is written: the hash covers its encoded bytes, so that it also covers fields of later
// versions.
type recordLine struct {
	Hash   string          `json:"hash"`
	Record json.RawMessage `json:"record"`
}

// hash returns the hash of an encoded record.
func hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:16])
}

// seal returns the line of a record, without a newline, and its hash.
func seal(r Record) (line []byte, h string) {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // a record has no value that cannot be encoded
	}
	h = hash(text)
	line, err = json.Marshal(recordLine{Hash: h, Record: text})
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

// ParseRecord decodes a line and verifies its hash.
func ParseRecord(line []byte) (ChainedRecord, error) {
	var s recordLine
	if err := json.Unmarshal(line, &s); err != nil {
		return ChainedRecord{}, fmt.Errorf("not a record: %w", err)
	}
	out := ChainedRecord{Hash: s.Hash}
	var plain bytes.Buffer
	if err := json.Compact(&plain, s.Record); err != nil || hash(plain.Bytes()) != s.Hash {
		return out, fmt.Errorf("a record does not fit its hash %.8s: it was changed", s.Hash)
	}
	if err := json.Unmarshal(s.Record, &out.Record); err != nil {
		return out, fmt.Errorf("not a record: %w", err)
	}
	if out.Seq == 0 || out.Gateway == "" || out.To < out.From {
		return out, fmt.Errorf("a record of %q with number %d, from %v to %v, is invalid", out.Gateway, out.Seq, out.From, out.To)
	}
	return out, nil
}
