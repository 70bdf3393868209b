package standin

import (
	"encoding/json"
	"net"
	"net/http"
)

// maxBodyBytes bounds what a stand-in reads of a request.
const maxBodyBytes = 8 << 20

// reset ends the connection as a dying process does.
func reset(w http.ResponseWriter) {
	conn := take(w)
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	conn.Close()
}

// cut closes the connection after what was written, without an end mark.
func cut(w http.ResponseWriter) { take(w).Close() }

// take takes the connection from the server. Where that cannot be, the server
// itself is told to close it.
func take(w http.ResponseWriter) net.Conn {
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

// refusal is an error in the OpenAI shape.
type refusal struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func refuse(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, refusal{refusalDetail{message, http.StatusText(status)}})
}

func refuseNotRun(w http.ResponseWriter, message string) {
	w.Header().Set("Not-Run", "true")
	refuse(w, http.StatusServiceUnavailable, message)
}
