package mangomodel

// TableKey names a row of the platform's table service.
type TableKey string

// RowVersion numbers the writes of one row from 1. Zero means that the row
// does not exist.
type RowVersion uint64

// Row is a row of the platform's table service.
type Row struct {
	Value   []byte
	Version RowVersion
}
