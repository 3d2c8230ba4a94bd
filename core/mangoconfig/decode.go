package mangoconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"

	"mangolane/core/mangomodel"
)

// Decode parses one JSON document strictly. An unknown field, a wrong type or
// trailing data is a fault with CodeInvalid that gives the line and column.
func Decode[T any](data []byte) (T, error) {
	var v T
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, invalid("%s: %v", position(data, offsetOf(data, err, dec)), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return v, invalid("%s: more than one document", position(data, dec.InputOffset()))
	}
	return v, nil
}

// unknownField matches the decoder's error for an unknown field, which carries
// no offset.
var unknownField = regexp.MustCompile(`unknown field ("[^"]*")`)

// offsetOf returns the byte offset of the input at which err occurred. For an
// unknown field it is the first occurrence of the field's name.
func offsetOf(data []byte, err error, dec *json.Decoder) int64 {
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		if i := bytes.Index(data, []byte(m[1])); i >= 0 {
			return int64(i) + 1
		}
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Offset
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return wrongType.Offset
	}
	return dec.InputOffset()
}

// position returns the line and column of a byte offset, both 1-based.
func position(data []byte, offset int64) string {
	before := data[:min(int(offset), len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	col := len(before) - (bytes.LastIndexByte(before, '\n') + 1)
	return fmt.Sprintf("line %d, column %d", line, max(col, 1))
}

func invalid(format string, args ...any) error {
	return mangomodel.Faultf(mangomodel.StepConfigure, "", mangomodel.CodeInvalid, mangomodel.RunNot, format, args...)
}
