package standin

import (
	"encoding/json"
	"net"
	"net/http"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 8 << 20

// resetConnection resets the connection, as the crash of a process does.
func resetConnection(w http.ResponseWriter) {
	conn := hijack(w)
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	conn.Close()
}

// closeConnection closes the connection after the bytes written so far,
// without marking the end of the answer.
func closeConnection(w http.ResponseWriter) { hijack(w).Close() }

// hijack takes the connection over from the server. If the server does not
// support this, hijack panics with http.ErrAbortHandler, which makes the
// server close the connection.
func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return conn
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// errorBody is an error response in the OpenAI format.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorBody{errorDetail{message, http.StatusText(status)}})
}

// writeNotRun writes a response with status 503 that says that the request was
// not run.
func writeNotRun(w http.ResponseWriter, message string) {
	w.Header().Set("Not-Run", "true")
	writeError(w, http.StatusServiceUnavailable, message)
}
