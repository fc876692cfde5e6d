package experiment

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// tableFile is the file name of the report.
const tableFile = "table.md"

// Publish writes a record, its report and its plots into the directory under root that is named
// after its label, and returns that directory. The report compares the record with the most recent
// other one under root.
func Publish(root string, record *Record) (directory string, err error) {
	earlier, err := latestRecord(root, record.Label)
	if err != nil {
		return "", errors.Wrap(err, "read earlier results")
	}
	directory = filepath.Join(root, record.Label)
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return "", err
	}
	if err := record.save(directory); err != nil {
		return "", err
	}
	if err := os.WriteFile(filepath.Join(directory, tableFile), []byte(record.Markdown(earlier)), 0o644); err != nil {
		return "", err
	}
	for _, description := range fleets() {
		if err := record.writePlots(directory, description.Name); err != nil {
			return "", err
		}
	}
	return directory, nil
}
