package standin

import (
	"encoding/json"
	"net"
	"net/http"
)

// maxBodyBytes bounds what a stand-in reads of a request.
const maxBodyBytes = 8 << 20

// resetConnection ends the connection as a dying process does.
func resetConnection(w http.ResponseWriter) {
	conn := hijack(w)
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	conn.Close()
}

// closeConnection closes the connection after what was written, without an end mark.
func closeConnection(w http.ResponseWriter) { hijack(w).Close() }

// hijack takes the connection from the server. Where that cannot be, the server
// itself is told to close it.
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

// errorBody is an error in the OpenAI shape.
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

func writeNotRun(w http.ResponseWriter, message string) {
	w.Header().Set("Not-Run", "true")
	writeError(w, http.StatusServiceUnavailable, message)
}
