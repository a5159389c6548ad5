package frame

// Refusal is sent between entry VMs only: the body is that of an ErrorResponse which the owner
// made itself, after which it sends nothing more.
const Refusal = 'r'
