package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/standin/platformserver"
)

// TestPlatformLoadsMachinesBeforeListening guards against a simulated platform that sets its list
// of machines after it starts to listen, and so overwrites a list posted in between.
func TestPlatformLoadsMachinesBeforeListening(t *testing.T) {
	path := filepath.Join(t.TempDir(), "machines.json")
	require.NoError(t, os.WriteFile(path, []byte(`[{"id": "of-the-file", "kind": "engine", "address": "127.0.0.1:1"}]`), 0o600))
	command := platformCommand{Machines: path, LogLevel: "error"}
	server, err := command.newServer()
	require.NoError(t, err)
	require.NoError(t, server.Start("127.0.0.1:0"))
	defer func() { _ = server.Stop() }()
	assert.Equal(t, []string{"of-the-file"}, listMachines(t, string(server.Address())))

	posted, err := json.Marshal(platform.MachinesResponse{Machines: []platform.Machine{{ID: "posted", Kind: platform.MachineEngine, Address: "127.0.0.1:2"}}})
	require.NoError(t, err)
	response, err := http.Post("http://"+string(server.Address())+platformserver.PathSetMachines, "application/json", bytes.NewReader(posted))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, []string{"posted"}, listMachines(t, string(server.Address())))
}

// listMachines returns the IDs of the machines that a simulated platform lists.
func listMachines(t *testing.T, address string) []string {
	t.Helper()
	response, err := http.Get("http://" + address + platform.PathMachines)
	require.NoError(t, err)
	defer response.Body.Close()
	var list platform.MachinesResponse
	require.NoError(t, json.NewDecoder(response.Body).Decode(&list))
	var names []string
	for _, machine := range list.Machines {
		names = append(names, machine.ID)
	}
	return names
}
